#pragma once

#include "libpolicy/context.h"
#include "libpolicy/ingress/ingress_state.h"
#include "libpolicy/refusal.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace chivevane {

struct node_state;

}

/// What the log tells of requests that get no good answer.
namespace chivevane::ingress {

/// The id by which callers and logs know the request; `-` if its caller gave none.
std::string_view caller_id_of(const ingress_request& request);

/// The attempts of a request: host and fate of each.
std::string history_of(const ingress_request& request);

/// Why a request gets no answer of an upstream.
void record_refusal(const node_state& node, context& surroundings, const ingress_request& request,
                    const refusal& reason);

/// An upstream's failure that the caller gets, and why no other upstream was asked.
void record_failure(const node_state& node, context& surroundings, const ingress_request& request,
                    const ingress_attempt& attempt, std::uint16_t answered);

} // namespace chivevane::ingress
