#pragma once

#include "libbase/result.h"
#include "libwire/store_operation.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace chivevane {

/// The target and body of the HTTP POST request for an operation.
struct store_request_text {
    std::string m_target;
    std::string m_body; ///< The body is JSON.
};

/// The status and body of the HTTP response for an outcome.
struct store_response_text {
    std::uint16_t m_status = 0;
    std::string m_body; ///< The body is JSON.
};

/// Encoding fails with `malformed` if a key or value is not UTF-8.
result<store_request_text> encode_store_operation(const store_operation& operation);

/// Decoding fails with `malformed` if the target is unknown or the body is invalid.
result<store_operation> decode_store_operation(std::string_view target, std::string_view body);

store_response_text encode_store_outcome(const store_outcome& outcome);

/// A response that is not a valid outcome decodes as a `store_failure` of kind `unknown`.
store_outcome decode_store_outcome(std::uint16_t status_code, std::string_view body);

} // namespace chivevane
