#pragma once

#include "libpolicy/context.h"
#include "libpolicy/ingress/attempts.h"
#include "libpolicy/ingress/ingress_state.h"
#include "libpolicy/ingress/retry_budget.h"
#include "libpolicy/refusal.h"

#include <optional>

namespace chivevane {

struct node_state;

}

/// Attempts where gates are asked in turn; see placement.h for the choice among them.
namespace chivevane::ingress::probing {

/// Whether this fleet places work so.
bool is_used(const context& surroundings);

/// Whether the answers of the request's route are too large to cross data centres for little.
/// Whether any upstream of the service takes work, so that only room is missing.
bool has_upstreams(const node_state& node, const context& surroundings,
                   const ingress_request& request);

bool has_large_answers(const node_state& node, const ingress_request& request);

/// This host's part of the retries over all hosts.
retry_allotment allotment_of(const node_state& node, const context& surroundings);

/// Where the next attempt may go.
std::optional<destination> find_destination(node_state& node, context& surroundings,
                                            const ingress_request& request);

/// Takes the right to one more attempt. A gate that refuses costs no upstream anything, so only
/// attempts that may have reached an upstream count. `reason` is why the last one ended.
bool spend_attempt(node_state& node, const ingress_request& request, const refusal& reason);

} // namespace chivevane::ingress::probing
