#include "libsettings/read_fleet_settings.h"

#include <chrono>
#include <cstdint>
#include <fmt/format.h>

namespace chivevane {

namespace {

constexpr value_bounds<std::int64_t> round_interval_bounds_ms{100, 10'000};
constexpr value_bounds<std::int64_t> max_start_delay_bounds_ms{0, 10'000};
constexpr value_bounds<std::int64_t> gossip_fanout_bounds{1, 3};
constexpr value_bounds<std::int64_t> message_count_bounds{1, 64};
constexpr value_bounds<double> retry_share_bounds{0, 1};
constexpr value_bounds<double> retry_reserve_bounds{0, 1'000'000}; // attempts
constexpr value_bounds<double> rate_slack_bounds{0, 1'000'000};    // requests
constexpr value_bounds<double> cold_factor_bounds{1, 100};
constexpr value_bounds<double> cold_slack_bounds{0, 1'000'000}; // requests

void read_gossip_settings(const yaml_place& place, host_settings& policy, fault_list& faults)
{
    yaml_map_reader reader{
        place,
        {"round_ms", "receivers", "probes", "crash_report_sends", "contacts", "start_spread_ms"},
        faults};
    auto& settings = policy.m_gossip;
    settings.m_round_interval = std::chrono::milliseconds{reader.integer_or(
        "round_ms", round_interval_bounds_ms, to_milliseconds(settings.m_round_interval))};
    settings.m_gossip_fanout = static_cast<std::uint32_t>(
        reader.integer_or("receivers", gossip_fanout_bounds, settings.m_gossip_fanout));
    settings.m_probe_fanout = static_cast<std::uint32_t>(
        reader.integer_or("probes", message_count_bounds, settings.m_probe_fanout));
    settings.m_contact_fanout = static_cast<std::uint32_t>(
        reader.integer_or("contacts", message_count_bounds, settings.m_contact_fanout));
    settings.m_max_start_delay = std::chrono::milliseconds{reader.integer_or(
        "start_spread_ms", max_start_delay_bounds_ms, to_milliseconds(settings.m_max_start_delay))};
    settings.m_crash_report_sends = static_cast<std::uint32_t>(reader.integer_or(
        "crash_report_sends", message_count_bounds, settings.m_crash_report_sends));
}

void read_retries(const yaml_place& place, host_settings& policy, fault_list& faults)
{
    yaml_map_reader reader{place, {"share", "reserve"}, faults};
    policy.m_retries.m_share =
        reader.number_or("share", retry_share_bounds, policy.m_retries.m_share);
    policy.m_retries.m_reserve =
        reader.number_or("reserve", retry_reserve_bounds, policy.m_retries.m_reserve);
}

void read_cold_tolerance(const yaml_place& place, host_settings& policy, fault_list& faults)
{
    yaml_map_reader reader{place, {"factor", "slack"}, faults};
    auto& tolerance = policy.m_cold_tolerance;
    tolerance.m_factor = reader.number_or("factor", cold_factor_bounds, tolerance.m_factor);
    tolerance.m_slack = reader.number_or("slack", cold_slack_bounds, tolerance.m_slack);
}

overload_policy read_overload_policy(yaml_map_reader& reader)
{
    const auto word = reader.text_or("overload", "priority");
    if (word == "least_cost") {
        return overload_policy::least_cost;
    }
    if (word == "least_cost_if_learned") {
        return overload_policy::least_cost_if_learned;
    }
    if (word != "priority") {
        reader.fault(error_kind::out_of_range, "overload", "there is no such choice.",
                     "Use priority, least_cost or least_cost_if_learned.");
    }
    return overload_policy::priority;
}

} // namespace

bool read_choice(yaml_map_reader& reader, std::string_view field, std::string_view first,
                 std::string_view second)
{
    const auto word = reader.text_or(field, first);
    if (word != first && word != second) {
        reader.fault(error_kind::out_of_range, field, "there is no such choice.",
                     fmt::format("Use {} or {}.", first, second));
    }
    return word == second;
}

void read_fleet_settings(yaml_map_reader& reader, host_settings& policy, fault_list& faults)
{
    policy.m_service = reader.text_or("service", "");
    if (read_choice(reader, "placement", "weighted", "probing")) {
        policy.m_placement = placement_mode::probing;
    }
    if (read_choice(reader, "stale_rules", "refuse", "serve")) {
        policy.m_unconfirmed_documents_policy = unconfirmed_documents_policy::serve;
    }
    if (read_choice(reader, "rates", "exact", "metered")) {
        policy.m_rate_mode = rate_mode::metered;
    }
    policy.m_overload = read_overload_policy(reader);
    if (read_choice(reader, "route_ranks", "off", "if_learned")) {
        policy.m_route_ranking = route_ranking::if_learned;
    }
    if (reader.has("timing")) {
        read_gossip_settings(reader.place_of("timing"), policy, faults);
    }
    policy.m_rate_slack = reader.number_or("rate_slack", rate_slack_bounds, policy.m_rate_slack);
    if (reader.has("retries")) {
        read_retries(reader.place_of("retries"), policy, faults);
    }
    if (reader.has("cold_tolerance")) {
        read_cold_tolerance(reader.place_of("cold_tolerance"), policy, faults);
    }
}

} // namespace chivevane
