#include "libdocument/read_route.h"

#include "libdocument/url_path.h"

#include <algorithm>
#include <fmt/format.h>

namespace chivevane {

namespace {

// Callers do not wait longer than 10 minutes.
constexpr value_bounds<std::int64_t> timeout_bounds_ms{1, 600'000};
constexpr value_bounds<std::int64_t> attempt_bounds{1, 10};
constexpr value_bounds<std::int64_t> priority_bounds{0, 1'000};
constexpr value_bounds<std::int64_t> latency_target_bounds_ms{0, 600'000};
constexpr value_bounds<double> weight_bounds{0, 1'000'000};
constexpr std::size_t max_host_length = 259; // A name has up to 253 characters, `:port` up to 6.
constexpr std::size_t max_method_length = 32;

bool is_host(std::string_view host)
{
    return host.size() <= max_host_length &&
           std::all_of(host.begin(), host.end(), [](char character) {
               return (character >= 'a' && character <= 'z') ||
                      (character >= '0' && character <= '9') || character == '-' ||
                      character == '.' || character == ':' || character == '[' || character == ']';
           });
}

bool is_method(std::string_view method)
{
    return !method.empty() && method.size() <= max_method_length &&
           std::all_of(method.begin(), method.end(), [](char character) {
               return (character >= 'A' && character <= 'Z') || character == '-' ||
                      character == '_';
           });
}

std::vector<std::string> read_methods(yaml_map_reader& reader, fault_list& faults)
{
    std::vector<std::string> methods;
    unique_names names{"method"};
    for (const auto& place : reader.items("methods")) {
        auto method = read_text(place, faults);
        if (place.m_node->m_kind == yaml_kind::scalar && !is_method(method)) {
            add_fault(faults, error_kind::out_of_range, place, "the value is no method.",
                      "Use the upper-case name of an HTTP method, such as GET.");
        }
        names.add(method, place, faults);
        methods.push_back(std::move(method));
    }
    return methods;
}

void read_match(yaml_map_reader& reader, route& entry, fault_list& faults)
{
    entry.m_host = reader.text_or("host", "");
    if (!is_host(entry.m_host)) {
        reader.fault(error_kind::out_of_range, "host", "the value is no host name.",
                     "Give a name in lower case, with :port if callers send one.");
    }
    entry.m_path_prefix = reader.text("path_prefix");
    check_url_path(reader, "path_prefix", entry.m_path_prefix);
    entry.m_methods = read_methods(reader, faults);
}

route_target read_target(const yaml_place& place, fault_list& faults)
{
    yaml_map_reader reader{place, {"service", "weight"}, faults};
    route_target target;
    target.m_service = reader.name("service");
    target.m_weight = reader.number("weight", weight_bounds);
    return target;
}

/// Reads the single service of a route, or the weighted targets that share its requests.
void read_services(yaml_map_reader& reader, route& entry, fault_list& faults)
{
    if (!reader.has("targets")) {
        entry.m_service = reader.name("service");
        return;
    }
    if (reader.has("service")) {
        reader.fault(error_kind::duplicate, "targets", "the route has a service as well.",
                     "Give either service or targets.");
    }
    double sum = 0;
    unique_names names{"target"};
    for (const auto& place : reader.items("targets")) {
        entry.m_targets.push_back(read_target(place, faults));
        names.add(entry.m_targets.back().m_service, place, faults);
        sum += entry.m_targets.back().m_weight;
    }
    if (sum <= 0) {
        reader.fault(error_kind::out_of_range, "targets", "no target has a weight.",
                     "Give at least one target a weight above 0.");
    }
}

void read_idempotence(yaml_map_reader& reader, route& entry)
{
    if (reader.has("idempotent")) {
        entry.m_idempotence = reader.flag_or("idempotent", false)
                                  ? route_idempotence::idempotent
                                  : route_idempotence::not_idempotent;
    }
}

} // namespace

route read_route(const yaml_place& place, fault_list& faults)
{
    yaml_map_reader reader{place,
                           {"name", "host", "path_prefix", "methods", "service", "targets",
                            "open_to_all", "timeout_ms", "attempts", "hedging", "idempotent",
                            "priority", "latency_target_ms"},
                           faults};
    route entry;
    entry.m_name = reader.name("name");
    read_match(reader, entry, faults);
    read_services(reader, entry, faults);
    read_idempotence(reader, entry);
    entry.m_priority =
        static_cast<std::uint32_t>(reader.integer_or("priority", priority_bounds, 0));
    entry.m_latency_target = std::chrono::milliseconds{
        reader.integer_or("latency_target_ms", latency_target_bounds_ms, 0)};
    if (reader.flag_or("open_to_all", false)) {
        entry.m_access = route_access::open_to_all;
    }
    entry.m_timeout = std::chrono::milliseconds{
        reader.integer_or("timeout_ms", timeout_bounds_ms, to_milliseconds(entry.m_timeout))};
    entry.m_attempts =
        static_cast<std::uint32_t>(reader.integer_or("attempts", attempt_bounds, entry.m_attempts));
    if (reader.flag_or("hedging", false)) {
        entry.m_hedging = hedging::on;
    }
    return entry;
}

void add_route_matches(const route& entry, unique_names& matches, const yaml_place& place,
                       fault_list& faults)
{
    if (entry.m_path_prefix.empty()) {
        return;
    }
    const auto where = fmt::format("{} {}", entry.m_host, entry.m_path_prefix);
    if (entry.m_methods.empty()) {
        matches.add(where, place, faults);
    }
    for (const auto& method : entry.m_methods) {
        matches.add(fmt::format("{} {}", where, method), place, faults);
    }
}

} // namespace chivevane
