#pragma once

#include "libbase/instant.h"
#include "libpolicy/event.h"
#include "libpolicy/ingress/caller_request.h"
#include "libpolicy/ingress/ingress_state.h"
#include "libpolicy/reducer_context.h"
#include "libpolicy/refusal.h"

#include <optional>
#include <string>

namespace chivevane {

struct host_state;

}

/// What is decided about a caller's request before its first attempt.
namespace chivevane::ingress {

/// Returns why this host takes no requests at all; empty if it takes them.
std::optional<refusal> reason_not_to_serve(const host_state& self, instant now);

/// Creates the request that the documents in force make of `inbound`. If its route has weighted
/// targets, one is chosen at random.
ingress_request make_request(const inbound_request& inbound,
                             const request_authorisation& authorisation, reducer_context& context);

/// Whether the request needs a token of its organisation's rate limit.
bool needs_token(const ingress_request& request);

/// Returns the key by which rate limits know the request's organisation (document/organisation).
std::string organisation_key(const ingress_request& request);

} // namespace chivevane::ingress
