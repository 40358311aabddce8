#pragma once

#include "libpolicy/explain/request_explanation.h"
#include "libpolicy/ingress/ingress_state.h"
#include "libpolicy/reducer_context.h"

#include <vector>

namespace chivevane {

struct host_state;

/// Returns the upstreams of the request's service in the order in which they would be asked, those
/// that would not be asked last.
std::vector<candidate_explanation> explain_candidates(const host_state& self,
                                                      const reducer_context& context,
                                                      const ingress_request& request);

} // namespace chivevane
