#include "libdocument/parse_document.h"

#include "libdocument/read_organisation.h"
#include "libdocument/read_route.h"
#include "libdocument/unique_names.h"
#include "libdocument/yaml_reader.h"

#include <fmt/format.h>

namespace chivevane {

namespace {

constexpr value_bounds<double> floor_bounds{0, 1};
constexpr double default_floor = 0.5; // half of the capacity stays in use

service_policy read_service(const yaml_place& place, fault_list& faults)
{
    yaml_map_reader reader{place, {"name", "floor"}, faults};
    service_policy service;
    service.m_name = reader.name("name");
    service.m_floor = reader.number_or("floor", floor_bounds, default_floor);
    return service;
}

void read_organisations(yaml_map_reader& reader, document& rules, fault_list& faults)
{
    unique_names names{"organisation"};
    unique_names digests{"key digest"};
    for (const auto& place : reader.items("organisations")) {
        auto owner = read_organisation(place, digests, faults);
        names.add(owner.m_name, place, faults);
        rules.m_organisations.push_back(std::move(owner));
    }
}

unique_names read_services(yaml_map_reader& reader, document& rules, fault_list& faults)
{
    unique_names names{"service"};
    for (const auto& place : reader.items("services")) {
        auto service = read_service(place, faults);
        names.add(service.m_name, place, faults);
        rules.m_services.push_back(std::move(service));
    }
    return names;
}

void read_routes(yaml_map_reader& reader, const unique_names& services, document& rules,
                 fault_list& faults)
{
    unique_names names{"route"};
    unique_names matches{"match of host, path_prefix and method"};
    for (const auto& place : reader.items("routes")) {
        auto entry = read_route(place, faults);
        names.add(entry.m_name, place, faults);
        add_route_matches(entry, matches, place, faults);
        if (!entry.m_service.empty() && !services.contains(entry.m_service)) {
            add_fault(faults, error_kind::dangling, place,
                      fmt::format("services has no `{}`.", entry.m_service),
                      "Add the service, or correct its name.");
        }
        rules.m_routes.push_back(std::move(entry));
    }
}

void read_datacentres(yaml_map_reader& reader, document& rules, fault_list& faults)
{
    unique_names names{"data centre"};
    for (const auto& place : reader.items("datacentres_out")) {
        auto name = read_name(place, faults);
        names.add(name, place, faults);
        rules.m_datacentres_out.push_back(std::move(name));
    }
}

document read_document(const yaml_node& root, fault_list& faults)
{
    yaml_map_reader reader{{&root, ""},
                           {"document", "organisations", "services", "routes", "datacentres_out"},
                           faults};
    document rules;
    rules.m_name = reader.name("document");
    read_organisations(reader, rules, faults);
    const auto services = read_services(reader, rules, faults);
    read_routes(reader, services, rules, faults);
    read_datacentres(reader, rules, faults);
    return rules;
}

} // namespace

std::variant<document, std::vector<error>> parse_document_fully(std::string_view text)
{
    const auto root = parse_yaml(text, {max_document_size});
    if (is_error(root)) {
        return std::vector{error_of(root)};
    }
    fault_list faults;
    auto rules = read_document(value_of(root), faults);
    if (!faults.empty()) {
        return faults;
    }
    return rules;
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
