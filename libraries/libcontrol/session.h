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

/// A complete response of the administration API.
struct api_response {
    std::uint16_t m_status = 0;
    std::vector<http_field> m_fields;
    std::string m_body;
};

/// Sends a request to `host` (ip:port). The error is `unavailable` if the request was certainly not
/// sent and `unknown_outcome` if it may have been.
using transport = std::function<result<api_response>(const std::string& host, const api_request&)>;

/// The hosts and credentials that the commands use, and their access to the network, to random
/// numbers and to the clock.
struct session {
    std::vector<std::string> m_hosts; ///< The administration addresses (ip:port), in order.
    std::string m_token;
    transport m_send;
    std::function<std::string()> m_generate_random_hex; ///< Returns new digits on each call.
    std::function<void(duration)> m_sleep;
};

/// Adds the operator token to `request` and sends it to one host.
result<api_response> send_to(const session& client, const std::string& host, api_request request);

/// Reads `target` from one host. Any status other than 200 is an error.
result<api_response> read_from(const session& client, const std::string& host,
                               const std::string& target);

/// Reads `target` from the first host that answers. An error other than `unavailable` and
/// `unknown_outcome` ends the search, as another host would answer the same.
result<api_response> read_from_any(const session& client, const std::string& target);

/// Converts a problem response (RFC 9457) to an error.
error error_of_problem(const api_response& response);

} // namespace chivevane::control
