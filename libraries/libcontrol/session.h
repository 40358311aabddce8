#pragma once

#include "libbase/instant.h"
#include "libbase/result.h"
#include "libwire/http_field.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chivevane::control {

/// A request to the administration API of a host.
struct api_request {
    std::string m_method;
    std::string m_target;
    std::vector<http_field> m_fields;
    std::string m_body;
};

/// A whole answer of the administration API.
struct api_response {
    std::uint16_t m_status = 0;
    std::vector<http_field> m_fields;
    std::string m_body;
};

/// Sends a request to `host` (ip:port). Errors are `unavailable` where the request was certainly
/// not sent and `unknown_outcome` where it may have been.
using transport = std::function<result<api_response>(const std::string& host, const api_request&)>;

/// What the commands need of the outside world.
struct session {
    std::vector<std::string> m_hosts; ///< Administration addresses ip:port, tried in order.
    std::string m_token;
    transport m_send;
    std::function<std::string()> m_make_secret; ///< Fresh random hexadecimal digits.
    std::function<void(duration)> m_sleep;
};

/// Sends `request` with the operator token to one host.
result<api_response> send_to(const session& access, const std::string& host, api_request request);

/// Reads `target` from one host. Any status but 200 is an error.
result<api_response> read_from(const session& access, const std::string& host,
                               const std::string& target);

/// Reads `target` from the first host that answers.
result<api_response> read_from_any(const session& access, const std::string& target);

/// The error that a refusal (RFC 9457) tells of.
error error_of_problem(const api_response& answer);

} // namespace chivevane::control
