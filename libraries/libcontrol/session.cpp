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

error_kind kind_of(std::uint16_t status, std::string_view outcome)
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
        const bool is_certain = outcome == "not-run" || outcome == "not-done";
        return is_certain ? error_kind::unavailable : error_kind::unknown_outcome;
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

result<api_response> send_to(const session& access, const std::string& host, api_request request)
{
    request.m_fields.push_back({"Authorization", fmt::format("Bearer {}", access.m_token)});
    return access.m_send(host, request);
}

result<api_response> read_from(const session& access, const std::string& host,
                               const std::string& target)
{
    auto answer = send_to(access, host, {"GET", target, {}, {}});
    if (!is_error(answer) && value_of(answer).m_status != 200) {
        return error_of_problem(value_of(answer));
    }
    return answer;
}

result<api_response> read_from_any(const session& access, const std::string& target)
{
    error last{error_kind::unavailable, "No host was named.", "Give --host=ip:port."};
    for (const auto& host : access.m_hosts) {
        auto answer = read_from(access, host, target);
        if (!is_error(answer)) {
            return answer;
        }
        last = error_of(answer);
        const bool may_differ_elsewhere =
            last.m_kind == error_kind::unavailable || last.m_kind == error_kind::unknown_outcome;
        if (!may_differ_elsewhere) {
            return last;
        }
    }
    // Reading changes nothing, so an answer that was lost is as good as none.
    last.m_kind = error_kind::unavailable;
    return last;
}

error error_of_problem(const api_response& answer)
{
    const auto body = json_value::parse(answer.m_body, nullptr, false);
    const auto title = text_field(body, "title");
    const auto detail = text_field(body, "detail");
    auto message = fmt::format(
        "{} (HTTP {})", title.empty() ? "The host refused the request." : title, answer.m_status);
    append_faults(message, body);
    return {kind_of(answer.m_status, text_field(body, "outcome")), std::move(message),
            detail.empty() ? "See docs/OPERATIONS.md for this status." : detail};
}

} // namespace chivevane::control
