#include "libdocument/parse_document.h"

#include "libdocument/read_organisation.h"
#include "libdocument/read_route.h"
#include "libdocument/unique_names.h"
#include "libdocument/url_path.h"
#include "libdocument/yaml_reader.h"

#include <fmt/format.h>

namespace chivevane {

namespace {

constexpr value_bounds<double> floor_bounds{0, 1};
constexpr value_bounds<double> cold_rate_bounds_per_s{0, 1'000'000};
constexpr value_bounds<std::int64_t> head_bounds_bytes{0, 1'048'576};
constexpr value_bounds<std::int64_t> body_bounds_bytes{0, 1'073'741'824};
constexpr value_bounds<std::int64_t> timeout_bounds_ms{0, 3'600'000};
constexpr double default_floor = 0.5; // Ejection leaves half of the capacity in use.

service_policy read_service(const yaml_place& place, fault_list& faults)
{
    yaml_map_reader reader{place, {"name", "floor", "cold_rate", "health_path"}, faults};
    service_policy service;
    service.m_name = reader.name("name");
    service.m_floor = reader.number_or("floor", floor_bounds, default_floor);
    service.m_cold_rate = reader.number_or("cold_rate", cold_rate_bounds_per_s, 0);
    service.m_health_path = reader.text_or("health_path", "");
    check_url_path(reader, "health_path", service.m_health_path);
    return service;
}

void read_organisations(yaml_map_reader& reader, document& parsed_document, fault_list& faults)
{
    unique_names names{"organisation"};
    unique_names digests{"key digest"};
    for (const auto& place : reader.items("organisations")) {
        auto owner = read_organisation(place, digests, faults);
        names.add(owner.m_name, place, faults);
        parsed_document.m_organisations.push_back(std::move(owner));
    }
}

unique_names read_services(yaml_map_reader& reader, document& parsed_document, fault_list& faults)
{
    unique_names names{"service"};
    for (const auto& place : reader.items("services")) {
        auto service = read_service(place, faults);
        names.add(service.m_name, place, faults);
        parsed_document.m_services.push_back(std::move(service));
    }
    return names;
}

void check_service(const std::string& name, const unique_names& services, const yaml_place& place,
                   fault_list& faults)
{
    if (!name.empty() && !services.contains(name)) {
        add_fault(faults, error_kind::dangling, place, fmt::format("services has no `{}`.", name),
                  "Add the service, or correct its name.");
    }
}

void read_routes(yaml_map_reader& reader, const unique_names& services, document& parsed_document,
                 fault_list& faults)
{
    unique_names names{"route"};
    unique_names matches{"match of host, path_prefix and method"};
    for (const auto& place : reader.items("routes")) {
        auto entry = read_route(place, faults);
        names.add(entry.m_name, place, faults);
        add_route_matches(entry, matches, place, faults);
        check_service(entry.m_service, services, place, faults);
        for (const auto& target : entry.m_targets) {
            check_service(target.m_service, services, place, faults);
        }
        parsed_document.m_routes.push_back(std::move(entry));
    }
}

void read_datacentres(yaml_map_reader& reader, document& parsed_document, fault_list& faults)
{
    unique_names names{"data centre"};
    for (const auto& place : reader.items("datacentres_out")) {
        auto name = read_name(place, faults);
        names.add(name, place, faults);
        parsed_document.m_datacentres_out.push_back(std::move(name));
    }
}

void read_caller_limits(yaml_map_reader& reader, document& parsed_document, fault_list& faults)
{
    if (!reader.has("caller_limits")) {
        return;
    }
    yaml_map_reader limits{reader.place_of("caller_limits"),
                           {"head_bytes", "body_bytes", "head_timeout_ms", "idle_timeout_ms"},
                           faults};
    parsed_document.m_caller_limits = {
        static_cast<std::size_t>(limits.integer_or("head_bytes", head_bounds_bytes, 0)),
        static_cast<std::size_t>(limits.integer_or("body_bytes", body_bounds_bytes, 0)),
        std::chrono::milliseconds{limits.integer_or("head_timeout_ms", timeout_bounds_ms, 0)},
        std::chrono::milliseconds{limits.integer_or("idle_timeout_ms", timeout_bounds_ms, 0)}};
}

document read_document(const yaml_node& root, fault_list& faults)
{
    yaml_map_reader reader{
        {&root, ""},
        {"document", "organisations", "services", "routes", "datacentres_out", "caller_limits"},
        faults};
    document parsed_document;
    parsed_document.m_name = reader.name("document");
    read_organisations(reader, parsed_document, faults);
    const auto services = read_services(reader, parsed_document, faults);
    read_routes(reader, services, parsed_document, faults);
    read_datacentres(reader, parsed_document, faults);
    read_caller_limits(reader, parsed_document, faults);
    return parsed_document;
}

} // namespace

std::variant<document, std::vector<error>> parse_document_fully(std::string_view text)
{
    const auto root = parse_yaml(text, {max_document_size});
    if (is_error(root)) {
        return std::vector{error_of(root)};
    }
    fault_list faults;
    auto parsed_document = read_document(value_of(root), faults);
    if (!faults.empty()) {
        return faults;
    }
    return parsed_document;
}

result<document> parse_document(std::string_view text)
{
    auto parsed = parse_document_fully(text);
    if (auto* const faults = std::get_if<std::vector<error>>(&parsed)) {
        return std::move(faults->front());
    }
    return std::move(*std::get_if<document>(&parsed));
}

} // namespace chivevane
