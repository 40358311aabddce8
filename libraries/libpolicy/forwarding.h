#pragma once

#include "libwire/request_head.h"
#include "libwire/response_head.h"

namespace chivevane {

/// Returns the request as it is forwarded: without hop-by-hop fields (RFC 9110 section 7.6.1), the
/// caller's key, the fields that frame the body and the fields that only hosts may use.
request_head forwardable_request(const request_head& head);

/// Returns the response as it is forwarded: without hop-by-hop fields and the fields that only
/// hosts may use.
response_head forwardable_response(const response_head& head);

} // namespace chivevane
