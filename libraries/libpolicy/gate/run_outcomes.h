#pragma once

#include "libpolicy/context.h"
#include "libpolicy/gate/circuit.h"
#include "libpolicy/gate/gate_state.h"
#include "libwire/http_field.h"

#include <string_view>
#include <vector>

namespace chivevane {

struct node_state;

}

/// What a gate learns from the runs of its upstreams, and tells ingresses of them.
namespace chivevane::gate {

/// Tells the circuit of the upstream how a run went.
void note_outcome(node_state& node, context& surroundings, gate_attempt& attempt,
                  circuit::run_outcome outcome);

/// The fields that tell ingresses how busy the upstream is; none where they do not ask for it.
std::vector<http_field> load_fields(const node_state& node, std::string_view endpoint);

} // namespace chivevane::gate
