#pragma once

#include "libpolicy/gate/circuit.h"
#include "libpolicy/gate/gate_state.h"
#include "libpolicy/reducer_context.h"
#include "libwire/http_field.h"

#include <string_view>
#include <vector>

namespace chivevane {

struct host_state;

}

/// Recording of how runs on the upstreams ended, and the load that is reported to ingresses.
namespace chivevane::gate {

/// Records the outcome of a run with the upstream's circuit and, if it is good, its latency. The
/// first outcome of an attempt counts, and only for the run of the upstream that it was handed to.
/// Does nothing unless the placement mode is `probing`.
void record_run_outcome(host_state& self, reducer_context& context, gate_attempt& attempt,
                        circuit::run_outcome outcome);

/// Logs that the ingress closed the connection of an attempt, and the attempt's phase.
void record_abandoned_attempt(reducer_context& context, const gate_attempt& attempt);

/// Answer fields that tell the ingress the load of the upstream. Empty if the placement mode is not
/// `probing`.
std::vector<http_field> load_fields(const host_state& self, std::string_view endpoint);

/// Returns the fields of the answer that the attempt was not run: the load, and whether the refusal
/// is final.
std::vector<http_field> refusal_fields(const host_state& self, const gate_attempt& attempt);

} // namespace chivevane::gate
