#include "libcontrol/fleet_commands.h"

#include "libcontrol/command_result.h"
#include "libcontrol/document_access.h"
#include "libcontrol/format_text.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <tuple>

namespace chivevane::control {

namespace {

constexpr duration rollout_poll_interval = 500ms;

/// A host as listed by the administration API of another host.
struct known_host {
    std::string m_name;
    std::string m_status;
    std::string m_address; ///< The ip:port of its administration listener.
};

std::string admin_address(const json_value& host)
{
    const auto ip = host.value("ip", "");
    const bool is_ipv6 = ip.find(':') != std::string::npos;
    return fmt::format("{}{}{}:{}", is_ipv6 ? "[" : "", ip, is_ipv6 ? "]" : "",
                       host.value("admin_port", 0));
}

/// Returns the array `field` of the JSON object that a host sent.
result<json_value> array_field(const result<api_response>& response, const char* field)
{
    if (is_error(response)) {
        return error_of(response);
    }
    auto body = json_value::parse(value_of(response).m_body, nullptr, false);
    if (!body.is_object() || !body.contains(field) || !body[field].is_array()) {
        return error{error_kind::malformed, fmt::format("The host sent no list of {}.", field),
                     "Check that --host names the administration port of a chivevaned."};
    }
    return body[field];
}

result<std::vector<known_host>> list_known_hosts(const session& client)
{
    const auto list = array_field(read_from_any(client, "/v1/hosts"), "hosts");
    if (is_error(list)) {
        return error_of(list);
    }
    std::vector<known_host> hosts;
    for (const auto& host : value_of(list)) {
        hosts.push_back({host.value("host", ""), host.value("status", ""), admin_address(host)});
    }
    return hosts;
}

/// Asks each host that is not dead, and that is not listed with the newest revision, for its
/// revision and fills it in.
void query_outdated_hosts(const session& client, const std::string& name, std::uint64_t newest,
                          json_value& rows)
{
    const auto known = list_known_hosts(client);
    if (is_error(known)) {
        return;
    }
    std::map<std::string, std::string, std::less<>> addresses;
    for (const auto& host : value_of(known)) {
        addresses[host.m_name] = host.m_address;
    }
    for (auto& row : rows) {
        const auto address = addresses.find(row.value("host", ""));
        if (row["status"] == "dead" || row["revision"] == newest || address == addresses.end()) {
            continue;
        }
        auto single_host_client = client;
        single_host_client.m_hosts = {address->second};
        if (const auto read = read_current_document(single_host_client, name); !is_error(read)) {
            row["revision"] = value_of(read).m_revision;
        }
    }
}

/// The revisions of a document on all hosts at one moment.
struct rollout_snapshot {
    json_value m_body;
    bool m_is_complete = false;
};

result<rollout_snapshot> read_rollout(const std::string& name, const session& client)
{
    const auto response = read_from_any(client, "/v1/documents/" + name + "/rollout");
    const auto list = array_field(response, "hosts");
    if (is_error(list)) {
        return error_of(list);
    }
    rollout_snapshot snapshot{json_value::parse(value_of(response).m_body, nullptr, false), false};
    const auto newest = snapshot.m_body.value("revision", std::uint64_t{0});
    auto& rows = snapshot.m_body["hosts"];
    query_outdated_hosts(client, name, newest, rows);
    snapshot.m_is_complete = std::all_of(rows.begin(), rows.end(), [newest](const json_value& row) {
        return row["status"] == "dead" || (row["revision"].is_number_unsigned() &&
                                           row["revision"].get<std::uint64_t>() >= newest);
    });
    snapshot.m_body["complete"] = snapshot.m_is_complete;
    return snapshot;
}

std::string rollout_table(const json_value& body)
{
    return fmt::format("document {} revision {} {}\n{}", body.value("document", ""),
                       body.value("revision", std::uint64_t{0}),
                       body.value("complete", false) ? "in force on every living host"
                                                     : "not yet in force everywhere",
                       format_objects(body["hosts"], {"host", "datacentre", "status", "revision"}));
}

/// Returns the administration addresses of the hosts whose timelines are read.
result<std::vector<std::string>> timeline_addresses(const command_options& options,
                                                    const session& client)
{
    if (!options.m_timeline_hosts.empty()) {
        return options.m_timeline_hosts;
    }
    return live_host_addresses(client);
}

std::tuple<std::int64_t, std::uint32_t, std::string> timeline_order(const json_value& entry)
{
    return {entry.value("wall_ms", std::int64_t{0}), entry.value("counter", 0U),
            entry.value("host", "")};
}

} // namespace

result<std::vector<std::string>> live_host_addresses(const session& client)
{
    const auto known = list_known_hosts(client);
    if (is_error(known)) {
        return error_of(known);
    }
    std::vector<std::string> addresses;
    for (const auto& host : value_of(known)) {
        if (host.m_status != "dead") {
            addresses.push_back(host.m_address);
        }
    }
    return addresses;
}

command_result show_rollout(const std::string& name, const command_options& options,
                            const session& client)
{
    auto snapshot = read_rollout(name, client);
    for (duration waited{}; waited < options.m_wait; waited += rollout_poll_interval) {
        if (is_error(snapshot) || value_of(snapshot).m_is_complete) {
            break;
        }
        client.m_sleep(rollout_poll_interval);
        snapshot = read_rollout(name, client);
    }
    if (is_error(snapshot)) {
        return error_result(error_of(snapshot));
    }
    const auto& [body, is_complete] = value_of(snapshot);
    return {is_complete ? exit_code::done : exit_code::incomplete,
            options.m_output == output_format::json ? to_text(body) : rollout_table(body), ""};
}

command_result show_timeline(const command_options& options, const session& client)
{
    const auto addresses = timeline_addresses(options, client);
    if (is_error(addresses)) {
        return error_result(error_of(addresses));
    }
    command_result outcome;
    std::vector<json_value> entries;
    const auto target = fmt::format("/v1/timeline?limit={}", options.m_timeline_limit);
    for (const auto& address : value_of(addresses)) {
        const auto list = array_field(read_from(client, address, target), "entries");
        if (is_error(list)) {
            outcome.m_code = exit_code::incomplete;
            outcome.m_errors +=
                fmt::format("{} is missing: {}\n", address, describe(error_of(list)));
            continue;
        }
        entries.insert(entries.end(), value_of(list).begin(), value_of(list).end());
    }
    std::stable_sort(entries.begin(), entries.end(), [](const auto& left, const auto& right) {
        return timeline_order(left) < timeline_order(right);
    });
    if (options.m_output == output_format::json) {
        outcome.m_output = to_text({{"entries", entries}});
        return outcome;
    }
    for (const auto& entry : entries) {
        outcome.m_output += format_timeline_entry(entry) + '\n';
    }
    return outcome;
}

} // namespace chivevane::control
