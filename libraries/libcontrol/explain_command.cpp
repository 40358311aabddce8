#include "libcontrol/explain_command.h"

#include "libadmin/json_text.h"
#include "libbase/digest.h"
#include "libcontrol/command_result.h"
#include "libcontrol/fleet_commands.h"
#include "libcontrol/format_text.h"

#include <fmt/format.h>
#include <optional>
#include <string_view>
#include <vector>

namespace chivevane::control {

namespace {

/// The parts of a URL that decide about the route.
struct request_location {
    std::string m_host; ///< The authority; empty if only a path was given.
    std::string m_target;
};

/// Splits a URL of HTTP or a path. Returns nothing if it is neither.
std::optional<request_location> parse_location(std::string_view text)
{
    if (text.starts_with('/')) {
        return request_location{"", std::string{text}};
    }
    for (const std::string_view scheme : {"http://", "https://"}) {
        if (!text.starts_with(scheme)) {
            continue;
        }
        text.remove_prefix(scheme.size());
        const auto end = text.find_first_of("/?");
        const auto host = text.substr(0, end);
        const auto rest = end == text.npos ? std::string_view{} : text.substr(end);
        if (host.empty() || host.find('@') != host.npos) {
            return std::nullopt;
        }
        return request_location{std::string{host},
                                fmt::format("{}{}", rest.starts_with('/') ? "" : "/", rest)};
    }
    return std::nullopt;
}

/// Encodes all bytes but the unreserved characters of RFC 3986 section 2.3.
std::string encode_percent(std::string_view text)
{
    constexpr std::string_view unreserved =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string encoded;
    for (const auto character : text) {
        encoded += unreserved.find(character) == unreserved.npos
                       ? fmt::format("%{:02X}", static_cast<unsigned char>(character))
                       : std::string(1, character);
    }
    return encoded;
}

std::string target_of(const std::string& method, const request_location& location,
                      const explain_options& options)
{
    auto target = fmt::format("/v1/explain?method={}&path={}", encode_percent(method),
                              encode_percent(location.m_target));
    if (!location.m_host.empty()) {
        target += "&host=" + encode_percent(location.m_host);
    }
    if (!options.m_key.empty()) {
        target += "&key_digest=" + sha256_hex(options.m_key);
    }
    if (!options.m_organisation.empty()) {
        target += "&organisation=" + encode_percent(options.m_organisation);
    }
    if (options.m_timeout_ms) {
        target += fmt::format("&timeout_ms={}", *options.m_timeout_ms);
    }
    return target;
}

std::string cell(const json_value& object, const char* field)
{
    return object.contains(field) ? format_cell(object[field]) : "-";
}

std::string milliseconds(const json_value& object, const char* field)
{
    const auto text = cell(object, field);
    return text == "-" ? text : text + " ms";
}

std::string refusal_text(const json_value& reason)
{
    if (!reason.is_object()) {
        return "none";
    }
    auto text = fmt::format("{} status {} {}", cell(reason, "kind"), cell(reason, "status"),
                            cell(reason, "outcome"));
    if (cell(reason, "retry_after_ms") != "-") {
        text += fmt::format(" retry after {}", milliseconds(reason, "retry_after_ms"));
    }
    return text;
}

/// Replaces the fractions of the candidates by three significant digits.
json_value with_short_fractions(json_value candidates)
{
    for (auto& candidate : candidates) {
        for (auto& value : candidate) {
            if (value.is_number_float()) {
                value = fmt::format("{:.3g}", value.get<double>());
            }
        }
    }
    return candidates;
}

std::string service_text(const json_value& service, bool is_probing)
{
    auto text = fmt::format("service {} weight {} probability {:.3g} refusal {}\n",
                            cell(service, "service"), cell(service, "weight"),
                            service.value("probability", 0.0),
                            refusal_text(service.value("refusal", json_value())));
    std::vector<std::string> columns{"step",     "probability", "host",
                                     "endpoint", "datacentre",  "slots",
                                     "load",     "load_age_ms", "load_source"};
    const auto more = is_probing
                          ? std::vector<std::string>{"may_queue",     "bypasses_circuit",
                                                     "circuit",       "circuit_seen_open_age_ms",
                                                     "busy_ms",       "full_ms",
                                                     "unreachable_ms"}
                          : std::vector<std::string>{"concurrency", "queued", "standing", "share"};
    columns.insert(columns.end(), more.begin(), more.end());
    const auto candidates = service.value("candidates", json_value::array());
    return candidates.empty() ? text
                              : text + format_objects(with_short_fractions(candidates), columns);
}

std::string route_text(const json_value& body)
{
    return fmt::format("document {} revision {} route {}\n"
                       "organisation {} priority {} at gates {}\n"
                       "left {} latency target {} idempotent {}\n",
                       cell(body, "document"), cell(body, "revision"), cell(body, "route"),
                       cell(body, "organisation"), cell(body, "priority"),
                       cell(body, "gate_priority"), milliseconds(body, "left_ms"),
                       milliseconds(body, "latency_target_ms"), cell(body, "idempotent"));
}

std::string rate_text(const json_value& rate)
{
    return rate.is_object() ? fmt::format("rate {} burst {} {} by {}: {}\n", cell(rate, "rate"),
                                          cell(rate, "burst"), cell(rate, "mode"),
                                          cell(rate, "decided_by"), cell(rate, "decision"))
                            : "rate -\n";
}

std::string explanation_text(const json_value& body)
{
    auto text = fmt::format("host {} datacentre {} placement {}\n", cell(body, "host"),
                            cell(body, "datacentre"), cell(body, "placement"));
    if (body.contains("document")) {
        text += route_text(body) + rate_text(body.value("rate", json_value()));
    }
    text += fmt::format("refusal {}\n", refusal_text(body.value("refusal", json_value())));
    for (const auto& service : body.value("services", json_value::array())) {
        text += service_text(service, body.value("placement", "") == "probing");
    }
    return text;
}

result<json_value> read_explanation_from(const session& client, const std::string& address,
                                         const std::string& target)
{
    const auto response = read_from(client, address, target);
    if (is_error(response)) {
        return error_of(response);
    }
    auto body = json_value::parse(value_of(response).m_body, nullptr, false);
    if (!body.is_object()) {
        return error{error_kind::malformed, "The host sent no JSON object.",
                     "Check that --host names the administration port of a chivevaned."};
    }
    return body;
}

/// Reads the explanations of all hosts that are not known to be dead.
command_result explain_on_all_hosts(const std::string& target, const command_options& options,
                                    const session& client)
{
    const auto addresses = live_host_addresses(client);
    if (is_error(addresses)) {
        return error_result(error_of(addresses));
    }
    command_result outcome;
    auto explanations = json_value::array();
    for (const auto& address : value_of(addresses)) {
        auto body = read_explanation_from(client, address, target);
        if (is_error(body)) {
            outcome.m_code = exit_code::incomplete;
            outcome.m_errors +=
                fmt::format("{} is missing: {}\n", address, describe(error_of(body)));
            continue;
        }
        outcome.m_output += (explanations.empty() ? "" : "\n") + explanation_text(value_of(body));
        explanations.push_back(value_of(std::move(body)));
    }
    if (options.m_output == output_format::json) {
        outcome.m_output = to_text({{"explanations", std::move(explanations)}});
    }
    return outcome;
}

} // namespace

command_result show_explanation(const std::string& method, const std::string& location,
                                const command_options& options, const session& client)
{
    const auto parsed = parse_location(location);
    if (!parsed) {
        return usage_error_result("explain takes a path or a URL of HTTP without a user name.");
    }
    if (!options.m_explain.m_key.empty() && !options.m_explain.m_organisation.empty()) {
        return usage_error_result("explain takes either a key or an organisation.");
    }
    const auto target = target_of(method, *parsed, options.m_explain);
    if (options.m_explain.m_asks_all_hosts) {
        return explain_on_all_hosts(target, options, client);
    }
    return response_result(read_from_any(client, target), options.m_output, explanation_text);
}

} // namespace chivevane::control
