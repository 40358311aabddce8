#pragma once

#include "libpolicy/ingress/destinations.h"
#include "libpolicy/ingress/ingress_state.h"
#include "libpolicy/ingress/retry_budget.h"
#include "libpolicy/placement/placement.h"
#include "libpolicy/reducer_context.h"
#include "libpolicy/refusal.h"

#include <optional>
#include <vector>

namespace chivevane {

struct host_state;

}

/// Attempts in the placement mode `probing`, which tries gates one after another until one takes
/// the request. See placement.h for the choice among the gates.
namespace chivevane::ingress::probing {

/// Whether the settings select the placement mode `probing`.
bool is_enabled(const reducer_context& context);

/// Whether the mode is enabled and any upstream of the service is serving, so that a request
/// without a destination lacks only free capacity.
bool has_upstreams(const host_state& self, const reducer_context& context,
                   const ingress_request& request);

/// Whether the mean size of the answers of the request's route is so large that they should not
/// cross data centres without need.
bool has_large_answers(const host_state& self, const ingress_request& request);

/// Returns this host's part of the retry budget of the whole fleet.
retry_budget_settings retry_budget_settings_of(const host_state& self,
                                               const reducer_context& context);

/// The upstreams of the service of a request, and what the choice among them depends on.
struct placement_query {
    std::vector<placement::option> m_options;
    placement::decision_input m_input;
};

/// Describes the choice of the destination of the next attempt.
placement_query make_query(const host_state& self, const reducer_context& context,
                           const ingress_request& request);

/// Chooses the destination of the next attempt; empty if no upstream may take it.
std::optional<destination> find_destination(const host_state& self, reducer_context& context,
                                            const ingress_request& request);

/// Spends the retry budget for one more attempt if it needs any. A refusal by a gate puts no load
/// on an upstream, so only attempts that may have reached an upstream count against the route's
/// limit and the budget. `reason` is why the previous attempt ended.
bool spend_budget_for_attempt(host_state& self, const ingress_request& request,
                              const refusal& reason);

} // namespace chivevane::ingress::probing
