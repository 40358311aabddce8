#pragma once

#include "libwire/request_head.h"
#include "libwire/response_head.h"

namespace chivevane {

/// The request as it may leave this process: without hop-by-hop fields (RFC 9110 section 7.6.1),
/// the key, body framing and the fields that only hosts may use.
request_head forwardable_request(const request_head& head);

/// The answer as it may be written on: without hop-by-hop fields and the fields that only hosts
/// use.
response_head forwardable_response(const response_head& head);

} // namespace chivevane
