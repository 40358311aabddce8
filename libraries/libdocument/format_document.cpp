#include "libdocument/format_document.h"

#include <algorithm>
#include <fmt/format.h>
#include <vector>

namespace chivevane {

namespace {

bool is_plain(const std::string& text)
{
    const auto is_safe = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
               (letter >= '0' && letter <= '9') || letter == '/' || letter == '_' ||
               letter == '.' || letter == '-';
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
    fmt::format_to(std::back_inserter(text), "  - name: {}\n    rate: {}\n    burst: {}\n",
                   format_scalar(owner.m_name), owner.m_rate, owner.m_burst);
    if (!owner.m_keys.empty()) {
        text += "    keys:\n";
    }
    for (const auto& key : owner.m_keys) {
        fmt::format_to(std::back_inserter(text), "      - {}\n", format_key(key));
    }
}

} // namespace

std::string format_scalar(const std::string& text)
{
    if (is_plain(text)) {
        return text;
    }
    std::string quoted = "\"";
    for (const char letter : text) {
        if (letter == '"' || letter == '\\') {
            quoted += '\\';
        }
        quoted += letter;
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
    add("service", format_scalar(entry.m_service));
    if (entry.m_access == route_access::open_to_all) {
        add("open_to_all", "true");
    }
    add("timeout_ms", std::to_string(to_milliseconds(entry.m_timeout)));
    add("attempts", std::to_string(entry.m_attempts));
    if (entry.m_hedging == hedging::on) {
        add("hedging", "true");
    }
    return text + '}';
}

std::string format_document(const document& rules)
{
    auto text = fmt::format("document: {}\n", format_scalar(rules.m_name));
    text += rules.m_organisations.empty() ? "" : "organisations:\n";
    for (const auto& owner : rules.m_organisations) {
        append_organisation(text, owner);
    }
    text += rules.m_services.empty() ? "" : "services:\n";
    for (const auto& service : rules.m_services) {
        fmt::format_to(std::back_inserter(text), "  - {{name: {}, floor: {}}}\n",
                       format_scalar(service.m_name), service.m_floor);
    }
    text += rules.m_routes.empty() ? "" : "routes:\n";
    for (const auto& entry : rules.m_routes) {
        fmt::format_to(std::back_inserter(text), "  - {}\n", format_route(entry));
    }
    if (!rules.m_datacentres_out.empty()) {
        fmt::format_to(std::back_inserter(text), "datacentres_out: {}\n",
                       format_list(rules.m_datacentres_out));
    }
    return text;
}

} // namespace chivevane
