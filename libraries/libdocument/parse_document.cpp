#include "libdocument/parse_document.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace chivevane {

namespace {

/// Carries a typed error out of the nested readers below; never leaves this file.
struct document_fault {
    error m_error;
};

std::string place_of(const YAML::Node& node, std::string_view path)
{
    return fmt::format("line {}, {}", node.Mark().line + 1, path);
}

YAML::Node required(const YAML::Node& parent, const char* field, std::string_view path)
{
    const auto node = parent[field];
    if (!node) {
        throw document_fault{
            {error_kind::missing_field,
             fmt::format("{}: the field {} is missing.", place_of(parent, path), field),
             fmt::format("Add {} there.", field)}};
    }
    return node;
}

template <typename Value>
Value read(const YAML::Node& parent, const char* field, std::string_view path)
{
    const auto node = required(parent, field, path);
    try {
        return node.as<Value>();
    }
    catch (const YAML::Exception&) {
        throw document_fault{
            {error_kind::wrong_type,
             fmt::format("{}.{}: the value has the wrong type.", place_of(node, path), field),
             "Give a value of the type that the documentation names."}};
    }
}

template <typename Value>
Value read_or(const YAML::Node& parent, const char* field, std::string_view path, Value fallback)
{
    return parent[field] ? read<Value>(parent, field, path) : fallback;
}

organisation read_organisation(const YAML::Node& node)
{
    constexpr std::string_view path = "organisations";
    organisation owner{read<std::string>(node, "name", path),
                       read<double>(node, "rate", path),
                       read<double>(node, "burst", path),
                       {}};
    for (const auto& key : node["keys"]) {
        owner.m_keys.push_back(
            {read<std::string>(key, "name", path), read<std::string>(key, "digest", path)});
    }
    return owner;
}

route read_route(const YAML::Node& node)
{
    constexpr std::string_view path = "routes";
    route entry;
    entry.m_name = read<std::string>(node, "name", path);
    entry.m_host = read_or<std::string>(node, "host", path, "");
    entry.m_path_prefix = read<std::string>(node, "path_prefix", path);
    entry.m_methods = read_or<std::vector<std::string>>(node, "methods", path, {});
    entry.m_service = read<std::string>(node, "service", path);
    if (read_or<bool>(node, "open_to_all", path, false)) {
        entry.m_access = route_access::open_to_all;
    }
    entry.m_timeout =
        std::chrono::milliseconds{read_or<std::int64_t>(node, "timeout_ms", path, 10'000)};
    entry.m_attempts = read_or<std::uint32_t>(node, "attempts", path, 3);
    return entry;
}

document read_document(const YAML::Node& root)
{
    document rules;
    rules.m_name = read<std::string>(root, "document", "document");
    for (const auto& node : root["organisations"]) {
        rules.m_organisations.push_back(read_organisation(node));
    }
    for (const auto& node : root["services"]) {
        rules.m_services.push_back({read<std::string>(node, "name", "services"),
                                    read_or<double>(node, "floor", "services", 0.5)});
    }
    for (const auto& node : root["routes"]) {
        rules.m_routes.push_back(read_route(node));
    }
    rules.m_datacentres_out =
        read_or<std::vector<std::string>>(root, "datacentres_out", "datacentres_out", {});
    return rules;
}

} // namespace

result<document> parse_document(std::string_view text)
{
    if (text.size() > max_document_size) {
        return error{error_kind::too_large,
                     fmt::format("The document has {} bytes; at most {} are allowed.", text.size(),
                                 max_document_size),
                     "Split the document by service."};
    }
    try {
        return read_document(YAML::Load(std::string{text}));
    }
    catch (const document_fault& fault) {
        return fault.m_error;
    }
    catch (const YAML::Exception& problem) {
        return error{error_kind::syntax, problem.what(), "Correct the YAML at that place."};
    }
}

} // namespace chivevane
