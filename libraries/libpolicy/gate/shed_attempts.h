#pragma once

#include "libpolicy/reducer_context.h"

namespace chivevane {

struct host_state;

}

namespace chivevane::gate {

/// Refuses the queued attempts that admission gives up because of overload, so that their
/// ingresses can try elsewhere or refuse the callers early.
void refuse_shed_attempts(host_state& self, reducer_context& context);

} // namespace chivevane::gate
