#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/reducer_context.h"

/// Follows the position of the store over its answers, so that the log tells a store that came back
/// from an older copy from one that was only away.
namespace chivevane::configuration {

/// Records where the store stood when it gave `answer` to a read or a watch.
void record_position(configuration_state& state, reducer_context& context,
                     const store_entries& answer);

} // namespace chivevane::configuration
