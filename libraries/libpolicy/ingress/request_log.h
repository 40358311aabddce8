#pragma once

#include "libpolicy/ingress/ingress_state.h"
#include "libpolicy/reducer_context.h"
#include "libpolicy/refusal.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace chivevane {

struct host_state;

}

/// Logs requests that fail or whose callers leave.
namespace chivevane::ingress {

/// Returns the id that the caller gave the request, or `-` if it gave none.
std::string_view caller_request_id_of(const ingress_request& request);

/// Returns the host and the execution status of each attempt of the request as `host:status`,
/// separated by commas. The reason of a refusal by the gate takes the place of the status. The
/// suffix `/insisted` or `/waited` tells how the gate was asked. Returns `none` without attempts.
std::string attempt_summary_of(const ingress_request& request);

/// Records the event that the ingress refuses a request or aborts its answer, with the reason.
void log_refusal(const host_state& self, reducer_context& context, const ingress_request& request,
                 const refusal& reason);

/// Records the event that a caller gets the failure of an upstream with the HTTP status `status`,
/// and what explains why the request was not retried.
void log_failure(const host_state& self, reducer_context& context, const ingress_request& request,
                 const ingress_attempt& attempt, std::uint16_t status);

/// Records the event that a caller closed its connection before its answer was complete.
void log_caller_left(reducer_context& context, const ingress_request& request);

} // namespace chivevane::ingress
