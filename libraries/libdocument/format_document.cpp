#include "libdocument/format_document.h"

#include <algorithm>
#include <fmt/format.h>
#include <vector>

namespace chivevane {

namespace {

bool is_plain(const std::string& text)
{
    const auto is_safe = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
               (character >= '0' && character <= '9') || character == '/' || character == '_' ||
               character == '.' || character == '-';
    };
    const bool is_null_word = text == "null" || text == "Null" || text == "NULL";
    return !text.empty() && text.front() != '-' && text.front() != '.' && !is_null_word &&
           std::all_of(text.begin(), text.end(), is_safe);
}

std::string format_list(const std::vector<std::string>& items)
{
    std::vector<std::string> scalars;
    scalars.reserve(items.size());
    std::transform(items.begin(), items.end(), std::back_inserter(scalars), format_scalar);
    return fmt::format("[{}]", fmt::join(scalars, ", "));
}

void append_organisation(std::string& text, const organisation& owner)
{
    fmt::format_to(std::back_inserter(text), "  - name: {}\n", format_scalar(owner.m_name));
    if (owner.m_rate == unlimited_rate) {
        text += "    unlimited: true\n";
    }
    else {
        fmt::format_to(std::back_inserter(text), "    rate: {}\n    burst: {}\n", owner.m_rate,
                       owner.m_burst);
    }
    if (owner.m_priority) {
        fmt::format_to(std::back_inserter(text), "    priority: {}\n", *owner.m_priority);
    }
    if (!owner.m_keys.empty()) {
        text += "    keys:\n";
    }
    for (const auto& key : owner.m_keys) {
        fmt::format_to(std::back_inserter(text), "      - {}\n", format_key(key));
    }
}

/// Appends the limits that are not zero.
void append_caller_limits(std::string& text, const caller_limits& limits)
{
    const auto add = [&text](std::string_view field, std::int64_t value) {
        if (value != 0) {
            fmt::format_to(std::back_inserter(text), "  {}: {}\n", field, value);
        }
    };
    if (limits == caller_limits{}) {
        return;
    }
    text += "caller_limits:\n";
    add("head_bytes", static_cast<std::int64_t>(limits.m_head_bytes));
    add("body_bytes", static_cast<std::int64_t>(limits.m_body_bytes));
    add("head_timeout_ms", to_milliseconds(limits.m_head_timeout));
    add("idle_timeout_ms", to_milliseconds(limits.m_idle_timeout));
}

} // namespace

std::string format_targets(const std::vector<route_target>& targets)
{
    std::vector<std::string> items;
    items.reserve(targets.size());
    std::transform(targets.begin(), targets.end(), std::back_inserter(items),
                   [](const route_target& each) {
                       return fmt::format("{{service: {}, weight: {}}}",
                                          format_scalar(each.m_service), each.m_weight);
                   });
    return fmt::format("[{}]", fmt::join(items, ", "));
}

std::string format_service(const service_policy& service)
{
    const auto cold =
        service.m_cold_rate > 0 ? fmt::format(", cold_rate: {}", service.m_cold_rate) : "";
    const auto health =
        service.m_health_path.empty()
            ? ""
            : fmt::format(", health_path: {}", format_scalar(service.m_health_path));
    return fmt::format("floor: {}{}{}", service.m_floor, cold, health);
}

std::string format_scalar(const std::string& text)
{
    if (is_plain(text)) {
        return text;
    }
    std::string quoted = "\"";
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            quoted += '\\';
        }
        quoted += character;
    }
    return quoted + '"';
}

std::string format_key(const api_key& key)
{
    return fmt::format("{{name: {}, digest: {}}}", format_scalar(key.m_name),
                       format_scalar(key.m_digest));
}

std::string format_route(const route& entry)
{
    auto text = fmt::format("{{name: {}", format_scalar(entry.m_name));
    const auto add = [&text](std::string_view field, const std::string& value) {
        fmt::format_to(std::back_inserter(text), ", {}: {}", field, value);
    };
    if (!entry.m_host.empty()) {
        add("host", format_scalar(entry.m_host));
    }
    add("path_prefix", format_scalar(entry.m_path_prefix));
    if (!entry.m_methods.empty()) {
        add("methods", format_list(entry.m_methods));
    }
    if (entry.m_targets.empty()) {
        add("service", format_scalar(entry.m_service));
    }
    else {
        add("targets", format_targets(entry.m_targets));
    }
    if (entry.m_access == route_access::open_to_all) {
        add("open_to_all", "true");
    }
    add("timeout_ms", std::to_string(to_milliseconds(entry.m_timeout)));
    add("attempts", std::to_string(entry.m_attempts));
    if (entry.m_hedging == hedging::on) {
        add("hedging", "true");
    }
    if (entry.m_idempotence != route_idempotence::by_method) {
        add("idempotent", entry.m_idempotence == route_idempotence::idempotent ? "true" : "false");
    }
    if (entry.m_priority != 0) {
        add("priority", std::to_string(entry.m_priority));
    }
    if (entry.m_latency_target != duration{}) {
        add("latency_target_ms", std::to_string(to_milliseconds(entry.m_latency_target)));
    }
    return text + '}';
}

std::string format_document(const document& parsed_document)
{
    auto text = fmt::format("document: {}\n", format_scalar(parsed_document.m_name));
    text += parsed_document.m_organisations.empty() ? "" : "organisations:\n";
    for (const auto& owner : parsed_document.m_organisations) {
        append_organisation(text, owner);
    }
    text += parsed_document.m_services.empty() ? "" : "services:\n";
    for (const auto& service : parsed_document.m_services) {
        fmt::format_to(std::back_inserter(text), "  - {{name: {}, {}}}\n",
                       format_scalar(service.m_name), format_service(service));
    }
    text += parsed_document.m_routes.empty() ? "" : "routes:\n";
    for (const auto& entry : parsed_document.m_routes) {
        fmt::format_to(std::back_inserter(text), "  - {}\n", format_route(entry));
    }
    if (!parsed_document.m_datacentres_out.empty()) {
        fmt::format_to(std::back_inserter(text), "datacentres_out: {}\n",
                       format_list(parsed_document.m_datacentres_out));
    }
    append_caller_limits(text, parsed_document.m_caller_limits);
    return text;
}

} // namespace chivevane
