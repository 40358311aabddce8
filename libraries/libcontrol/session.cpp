#include "libcontrol/session.h"

#include "libadmin/json_text.h"

#include <fmt/format.h>

namespace chivevane::control {

namespace {

std::string text_field(const json_value& body, const char* name)
{
    return body.is_object() && body.contains(name) && body[name].is_string()
               ? body[name].get<std::string>()
               : std::string{};
}

error_kind error_kind_of(std::uint16_t status, std::string_view outcome)
{
    if (status == 401) {
        return error_kind::unauthenticated;
    }
    if (status == 404) {
        return error_kind::not_found;
    }
    if (status == 409 || status == 412) {
        return error_kind::conflict;
    }
    if (status >= 500) {
        const bool is_not_executed = outcome == "not-run" || outcome == "not-done";
        return is_not_executed ? error_kind::unavailable : error_kind::unknown_outcome;
    }
    return error_kind::malformed;
}

void append_faults(std::string& message, const json_value& body)
{
    if (!body.is_object() || !body.contains("faults") || !body["faults"].is_array()) {
        return;
    }
    for (const auto& fault : body["faults"]) {
        message += fmt::format("\n  {}: {} Remedy: {}", text_field(fault, "kind"),
                               text_field(fault, "message"), text_field(fault, "remedy"));
    }
}

} // namespace

result<api_response> send_to(const session& client, const std::string& host, api_request request)
{
    request.m_fields.push_back({"Authorization", fmt::format("Bearer {}", client.m_token)});
    return client.m_send(host, request);
}

result<api_response> read_from(const session& client, const std::string& host,
                               const std::string& target)
{
    auto response = send_to(client, host, {"GET", target, {}, {}});
    if (!is_error(response) && value_of(response).m_status != 200) {
        return error_of_problem(value_of(response));
    }
    return response;
}

result<api_response> read_from_any(const session& client, const std::string& target)
{
    error last_error{error_kind::unavailable, "No host was named.", "Give --host=ip:port."};
    for (const auto& host : client.m_hosts) {
        auto response = read_from(client, host, target);
        if (!is_error(response)) {
            return response;
        }
        last_error = error_of(response);
        const bool can_retry_elsewhere = last_error.m_kind == error_kind::unavailable ||
                                         last_error.m_kind == error_kind::unknown_outcome;
        if (!can_retry_elsewhere) {
            return last_error;
        }
    }
    // A read has no side effects, so an unknown outcome counts as `unavailable`.
    last_error.m_kind = error_kind::unavailable;
    return last_error;
}

error error_of_problem(const api_response& response)
{
    const auto body = json_value::parse(response.m_body, nullptr, false);
    const auto title = text_field(body, "title");
    const auto detail = text_field(body, "detail");
    auto message = fmt::format(
        "{} (HTTP {})", title.empty() ? "The host refused the request." : title, response.m_status);
    append_faults(message, body);
    return {error_kind_of(response.m_status, text_field(body, "outcome")), std::move(message),
            detail.empty() ? "See docs/OPERATIONS.md for this status." : detail};
}

} // namespace chivevane::control
