#pragma once

#include "libpolicy/gate/gate_state.h"
#include "libpolicy/reducer_context.h"
#include "libwire/response_head.h"

#include <string_view>

namespace chivevane {

struct host_state;

}

/// What upstreams say of themselves in the heads of their answers: the rate of requests that they
/// accept from all hosts together, and that they are leaving.
namespace chivevane::gate {

/// Applies what the answer to `attempt` says of its upstream.
void apply_statements(host_state& self, reducer_context& context, const gate_attempt& attempt,
                      const response_head& head);

/// Whether an answer of the upstream's present run says that it is leaving.
bool is_leaving(const gate_state& state, std::string_view endpoint);

} // namespace chivevane::gate
