#pragma once

#include "libbase/result.h"
#include "libwire/store_operation.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace chivevane {

/// An operation as an HTTP request: always POST.
struct store_request_text {
    std::string m_target;
    std::string m_body; ///< JSON.
};

/// An outcome as an HTTP answer.
struct store_response_text {
    std::uint16_t m_status = 0;
    std::string m_body; ///< JSON.
};

/// Fails with `malformed` when a key or value is not UTF-8.
result<store_request_text> encode_store_operation(const store_operation& operation);

/// Fails with `malformed` for another target or body.
result<store_operation> decode_store_operation(std::string_view target, std::string_view body);

store_response_text encode_store_outcome(const store_outcome& outcome);

/// What is not an outcome decodes as a `store_failure` of kind `unknown`.
store_outcome decode_store_outcome(std::uint16_t status_code, std::string_view body);

} // namespace chivevane
