#include "libsettings/parse_settings.h"

#include "libdocument/yaml_reader.h"
#include "libsettings/read_fleet_settings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <vector>

namespace chivevane {

namespace {

constexpr value_bounds<std::int64_t> port_bounds{1, 65'535};
constexpr value_bounds<std::int64_t> head_size_bounds{1'024, 1'048'576};
constexpr value_bounds<std::int64_t> body_size_bounds{0, 67'108'864};
constexpr value_bounds<std::int64_t> memory_limit_bounds_mb{32, 65'536};
constexpr value_bounds<std::int64_t> shutdown_bounds_ms{0, 3'600'000};
constexpr value_bounds<double> termination_grace_bounds_s{0.1, 3600};

/// The part of the termination grace period in which requests may still end. The rest is for the
/// last answers to be written, also where the process gets little processor time.
constexpr double shutdown_share_of_grace = 0.85;

constexpr value_bounds<std::int64_t> watch_timeout_bounds_ms{100, 30'000};
constexpr value_bounds<std::int64_t> propagation_limit_bounds_ms{500, 600'000};
constexpr value_bounds<std::int64_t> timeline_entry_bounds{16, 1'000'000};
constexpr std::size_t min_secret_size = 16; // bytes; shorter secrets can be guessed

bool is_ip(const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1 ||
           inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1;
}

std::string read_ip(yaml_map_reader& reader, std::string_view field)
{
    auto ip = reader.text(field);
    if (reader.has(field) && !is_ip(ip)) {
        reader.fault(error_kind::out_of_range, field, "the value is no IP number.",
                     "Give an IPv4 or IPv6 number, not a host name.");
    }
    return ip;
}

std::string remove_trailing_line_ends(std::string text)
{
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
        text.pop_back();
    }
    return text;
}

/// Reads a secret from the field `field`, or from the file that the field `<field>_file` names.
std::string read_secret(yaml_map_reader& reader, const std::string& field,
                        const file_reader& read_file, fault_list& faults)
{
    const auto file_field = field + "_file";
    if (reader.has(field) == reader.has(file_field)) {
        reader.fault(reader.has(field) ? error_kind::duplicate : error_kind::missing_field, field,
                     "exactly one of this field and its _file form must be given.",
                     fmt::format("Give {} or, better, {}.", field, file_field));
        return {};
    }
    const auto& used_field = reader.has(field) ? field : file_field;
    auto secret = reader.text(used_field);
    if (used_field == file_field) {
        const auto content = read_file(secret);
        if (is_error(content)) {
            add_fault(faults, error_of(content).m_kind, reader.place_of(file_field),
                      error_of(content).m_message, error_of(content).m_remedy);
            return {};
        }
        secret = remove_trailing_line_ends(value_of(content));
    }
    if (secret.size() < min_secret_size) {
        reader.fault(error_kind::out_of_range, used_field,
                     fmt::format("the secret has {} bytes.", secret.size()),
                     fmt::format("Use at least {} bytes, for example of `openssl rand -hex 32`.",
                                 min_secret_size));
    }
    return secret;
}

/// Reads a port, given as a number or as `ip:port`.
std::uint16_t read_port(yaml_map_reader& reader, std::string_view field)
{
    const auto text = reader.text_or(field, "");
    if (text.find(':') == std::string::npos) {
        return static_cast<std::uint16_t>(reader.integer(field, port_bounds));
    }
    const auto endpoint = parse_endpoint(text);
    if (is_error(endpoint)) {
        reader.fault(error_of(endpoint).m_kind, field, error_of(endpoint).m_message,
                     error_of(endpoint).m_remedy);
        return 0;
    }
    return value_of(endpoint).m_port;
}

std::uint16_t read_optional_port(yaml_map_reader& reader, std::string_view field)
{
    return reader.has(field) ? read_port(reader, field) : 0;
}

void read_ports(const yaml_place& place, daemon_settings& settings, fault_list& faults)
{
    yaml_map_reader reader{
        place, {"caller", "gate", "control", "admin", "announce", "ready", "metrics"}, faults};
    const auto read = [&](std::string_view field) { return read_port(reader, field); };
    const auto fault_count_before = faults.size();
    auto& address = settings.m_policy.m_address;
    address.m_caller_port = read("caller");
    address.m_gate_port = read("gate");
    address.m_control_port = read("control");
    address.m_admin_port = read("admin");
    settings.m_announce_port = read("announce");
    settings.m_readiness_port = read_optional_port(reader, "ready");
    settings.m_metrics_port = read_optional_port(reader, "metrics");
    std::vector ports{address.m_caller_port,  address.m_gate_port,      address.m_control_port,
                      address.m_admin_port,   settings.m_announce_port, settings.m_readiness_port,
                      settings.m_metrics_port};
    std::erase(ports, 0);
    std::sort(ports.begin(), ports.end());
    if (faults.size() == fault_count_before &&
        std::adjacent_find(ports.begin(), ports.end()) != ports.end()) {
        add_fault(faults, error_kind::duplicate, place, "two listeners have the same port.",
                  "Give each listener its own port.");
    }
}

std::vector<ip_endpoint> read_endpoints(yaml_map_reader& reader, std::string_view field,
                                        fault_list& faults)
{
    std::vector<ip_endpoint> endpoints;
    for (const auto& place : reader.items(field)) {
        const auto fault_count_before = faults.size();
        const auto text = read_text(place, faults);
        if (faults.size() != fault_count_before) {
            continue;
        }
        const auto endpoint = parse_endpoint(text);
        if (is_error(endpoint)) {
            add_fault(faults, error_of(endpoint).m_kind, place, error_of(endpoint).m_message,
                      error_of(endpoint).m_remedy);
            continue;
        }
        if (std::find(endpoints.begin(), endpoints.end(), value_of(endpoint)) != endpoints.end()) {
            add_fault(faults, error_kind::duplicate, place, "the address stands twice.",
                      "Keep one of them.");
        }
        endpoints.push_back(value_of(endpoint));
    }
    return endpoints;
}

void read_limits(const yaml_place& place, daemon_settings& settings, fault_list& faults)
{
    yaml_map_reader reader{place, {"head_bytes", "body_bytes"}, faults};
    settings.m_max_head_size = static_cast<std::size_t>(reader.integer_or(
        "head_bytes", head_size_bounds, static_cast<std::int64_t>(settings.m_max_head_size)));
    settings.m_max_body_size = static_cast<std::size_t>(reader.integer_or(
        "body_bytes", body_size_bounds, static_cast<std::int64_t>(settings.m_max_body_size)));
}

log_level read_log_level(yaml_map_reader& reader)
{
    const auto name = reader.text_or("log_level", "info");
    if (name == "warning") {
        return log_level::warning;
    }
    if (name == "error") {
        return log_level::error;
    }
    if (name != "info") {
        reader.fault(error_kind::out_of_range, "log_level", "there is no such level.",
                     "Use info, warning or error.");
    }
    return log_level::info;
}

void read_identity(yaml_map_reader& reader, daemon_settings& settings)
{
    settings.m_policy.m_self.m_name = reader.name("host");
    settings.m_policy.m_datacentre = reader.name("datacentre");
    settings.m_policy.m_address.m_ip = read_ip(reader, "ip");
    settings.m_listen_ip =
        reader.has("listen_ip") ? read_ip(reader, "listen_ip") : settings.m_policy.m_address.m_ip;
}

/// Reads the secret shared by all hosts from the settings or a file, or reads the key in the store
/// that holds the secret.
void read_shared_secret(yaml_map_reader& reader, const file_reader& read_file,
                        daemon_settings& settings, fault_list& faults)
{
    if (!reader.has("shared_secret_key")) {
        settings.m_policy.m_shared_secret = read_secret(reader, "shared_secret", read_file, faults);
        return;
    }
    settings.m_shared_secret_store_key = reader.text("shared_secret_key");
    if (reader.has("shared_secret") || reader.has("shared_secret_file")) {
        reader.fault(error_kind::duplicate, "shared_secret_key",
                     "the settings give the secret as well.",
                     "Give shared_secret_key, shared_secret or shared_secret_file.");
    }
}

/// Reads the longest time that a shutdown takes: as it is given, or as the part of the time until
/// the process is killed that leaves room for the last answers.
duration read_shutdown_limit(yaml_map_reader& reader, const host_settings& defaults)
{
    if (reader.has("termination_grace_period_s")) {
        if (reader.has("shutdown_limit_ms")) {
            reader.fault(error_kind::out_of_range, "termination_grace_period_s",
                         "shutdown_limit_ms is given too.", "Give one of the two.");
        }
        const auto grace =
            reader.number_or("termination_grace_period_s", termination_grace_bounds_s, 0);
        return from_seconds(grace * shutdown_share_of_grace);
    }
    return std::chrono::milliseconds{reader.integer_or("shutdown_limit_ms", shutdown_bounds_ms,
                                                       to_milliseconds(defaults.m_shutdown_limit))};
}

daemon_settings read_settings(const yaml_node& root, const file_reader& read_file,
                              fault_list& faults)
{
    daemon_settings settings;
    yaml_map_reader reader{{&root, ""},
                           {"host",
                            "datacentre",
                            "ip",
                            "listen_ip",
                            "ports",
                            "shared_secret",
                            "shared_secret_file",
                            "shared_secret_key",
                            "operator_token",
                            "operator_token_file",
                            "administration",
                            "store",
                            "seeds",
                            "limits",
                            "shutdown_limit_ms",
                            "shutdown_notice_ms",
                            "termination_grace_period_s",
                            "timeline_entries",
                            "log_level",
                            "service",
                            "placement",
                            "stale_rules",
                            "rates",
                            "overload",
                            "route_ranks",
                            "timing",
                            "retries",
                            "cold_tolerance",
                            "rate_slack",
                            "watch_timeout_ms",
                            "propagation_limit_ms",
                            "memory_limit_mb"},
                           faults};
    read_identity(reader, settings);
    if (reader.has("ports")) {
        read_ports(reader.place_of("ports"), settings, faults);
    }
    else {
        reader.fault(error_kind::missing_field, "ports", "the field is missing.",
                     "Add ports with caller, gate, control, admin and announce.");
    }
    read_shared_secret(reader, read_file, settings, faults);
    if (!read_choice(reader, "administration", "open", "closed")) {
        settings.m_operator_token = read_secret(reader, "operator_token", read_file, faults);
    }
    read_fleet_settings(reader, settings.m_policy, faults);
    settings.m_store_endpoints = read_endpoints(reader, "store", faults);
    if (!reader.has("store")) {
        reader.fault(error_kind::missing_field, "store", "the field is missing.",
                     "Add a list of ip:port with at least one address of the platform's store.");
    }
    for (const auto& seed : read_endpoints(reader, "seeds", faults)) {
        settings.m_policy.m_seeds.push_back({seed.m_ip, seed.m_port});
    }
    if (reader.has("limits")) {
        read_limits(reader.place_of("limits"), settings, faults);
    }
    settings.m_memory_limit_mb =
        static_cast<std::size_t>(reader.integer_or("memory_limit_mb", memory_limit_bounds_mb, 0));
    settings.m_policy.m_shutdown_limit = read_shutdown_limit(reader, settings.m_policy);
    settings.m_policy.m_watch_timeout = std::chrono::milliseconds{
        reader.integer_or("watch_timeout_ms", watch_timeout_bounds_ms,
                          to_milliseconds(settings.m_policy.m_watch_timeout))};
    settings.m_policy.m_propagation_limit = std::chrono::milliseconds{
        reader.integer_or("propagation_limit_ms", propagation_limit_bounds_ms,
                          to_milliseconds(settings.m_policy.m_propagation_limit))};
    settings.m_policy.m_shutdown_notice_period =
        std::chrono::milliseconds{reader.integer_or("shutdown_notice_ms", shutdown_bounds_ms, 0)};
    settings.m_timeline_entries = static_cast<std::size_t>(
        reader.integer_or("timeline_entries", timeline_entry_bounds,
                          static_cast<std::int64_t>(settings.m_timeline_entries)));
    settings.m_log_level = read_log_level(reader);
    return settings;
}

error invalid_endpoint(std::string_view text)
{
    return {error_kind::out_of_range, fmt::format("`{}` is no ip:port.", text),
            "Give an IP number, a colon and a port, such as 127.0.0.1:7000 or [::1]:7000."};
}

} // namespace

result<ip_endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalid_endpoint(text);
    }
    auto ip = text.substr(0, colon);
    const auto port_text = text.substr(colon + 1);
    if (ip.starts_with('[') && ip.ends_with(']')) {
        ip = ip.substr(1, ip.size() - 2);
    }
    else if (ip.find(':') != std::string_view::npos) {
        return invalid_endpoint(text);
    }
    ip_endpoint endpoint{std::string{ip}, 0};
    const auto* const end = port_text.data() + port_text.size();
    const auto [parsed_end, error_code] = std::from_chars(port_text.data(), end, endpoint.m_port);
    if (error_code != std::errc{} || parsed_end != end || endpoint.m_port == 0 ||
        !is_ip(endpoint.m_ip)) {
        return invalid_endpoint(text);
    }
    return endpoint;
}

std::variant<daemon_settings, std::vector<error>> parse_settings(std::string_view text,
                                                                 const file_reader& read_file)
{
    const auto root = parse_yaml(text);
    if (is_error(root)) {
        return std::vector{error_of(root)};
    }
    fault_list faults;
    auto settings = read_settings(value_of(root), read_file, faults);
    if (!faults.empty()) {
        return faults;
    }
    return settings;
}

} // namespace chivevane
