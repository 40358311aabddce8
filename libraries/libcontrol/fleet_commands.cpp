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

constexpr duration rollout_interval = 500ms; // between two looks at all hosts

/// A host as another one knows it.
struct known_host {
    std::string m_name;
    std::string m_status;
    std::string m_address; ///< Administration ip:port.
};

std::string admin_address(const json_value& host)
{
    const auto ip = host.value("ip", "");
    const bool is_ipv6 = ip.find(':') != std::string::npos;
    return fmt::format("{}{}{}:{}", is_ipv6 ? "[" : "", ip, is_ipv6 ? "]" : "",
                       host.value("admin_port", 0));
}

/// The array called `field` of a JSON object that a host sent.
result<json_value> array_of(const result<api_response>& answer, const char* field)
{
    if (is_error(answer)) {
        return error_of(answer);
    }
    auto body = json_value::parse(value_of(answer).m_body, nullptr, false);
    if (!body.is_object() || !body.contains(field) || !body[field].is_array()) {
        return error{error_kind::malformed, fmt::format("The host sent no list of {}.", field),
                     "Check that --host names the administration port of a chivevaned."};
    }
    return body[field];
}

result<std::vector<known_host>> list_known_hosts(const session& access)
{
    const auto list = array_of(read_from_any(access, "/v1/hosts"), "hosts");
    if (is_error(list)) {
        return error_of(list);
    }
    std::vector<known_host> hosts;
    for (const auto& host : value_of(list)) {
        hosts.push_back({host.value("host", ""), host.value("status", ""), admin_address(host)});
    }
    return hosts;
}

/// Fills in the revision of each living host that does not show the newest one, by asking it.
void ask_hosts(const session& access, const std::string& name, std::uint64_t newest,
               json_value& rows)
{
    const auto known = list_known_hosts(access);
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
        auto direct = access;
        direct.m_hosts = {address->second};
        if (const auto read = read_current(direct, name); !is_error(read)) {
            row["revision"] = value_of(read).m_revision;
        }
    }
}

/// One look at all hosts.
struct rollout_look {
    json_value m_body;
    bool m_is_complete = false;
};

result<rollout_look> look_at_rollout(const std::string& name, const session& access)
{
    const auto answer = read_from_any(access, "/v1/documents/" + name + "/rollout");
    const auto list = array_of(answer, "hosts");
    if (is_error(list)) {
        return error_of(list);
    }
    rollout_look look{json_value::parse(value_of(answer).m_body, nullptr, false), false};
    const auto newest = look.m_body.value("revision", std::uint64_t{0});
    auto& rows = look.m_body["hosts"];
    ask_hosts(access, name, newest, rows);
    look.m_is_complete = std::all_of(rows.begin(), rows.end(), [newest](const json_value& row) {
        return row["status"] == "dead" || (row["revision"].is_number_unsigned() &&
                                           row["revision"].get<std::uint64_t>() >= newest);
    });
    look.m_body["complete"] = look.m_is_complete;
    return look;
}

std::string rollout_table(const json_value& body)
{
    return fmt::format("document {} revision {} {}\n{}", body.value("document", ""),
                       body.value("revision", std::uint64_t{0}),
                       body.value("complete", false) ? "in force on every living host"
                                                     : "not yet in force everywhere",
                       format_objects(body["hosts"], {"host", "datacentre", "status", "revision"}));
}

/// The administration addresses to ask for their time lines.
result<std::vector<std::string>> timeline_addresses(const command_options& options,
                                                    const session& access)
{
    if (!options.m_timeline_hosts.empty()) {
        return options.m_timeline_hosts;
    }
    const auto known = list_known_hosts(access);
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

std::tuple<std::int64_t, std::uint32_t, std::string> order_of(const json_value& entry)
{
    return {entry.value("wall_ms", std::int64_t{0}), entry.value("counter", 0U),
            entry.value("host", "")};
}

} // namespace

command_result show_rollout(const std::string& name, const command_options& options,
                            const session& access)
{
    auto look = look_at_rollout(name, access);
    for (duration waited{}; waited < options.m_wait; waited += rollout_interval) {
        if (is_error(look) || value_of(look).m_is_complete) {
            break;
        }
        access.m_sleep(rollout_interval);
        look = look_at_rollout(name, access);
    }
    if (is_error(look)) {
        return failed(error_of(look));
    }
    const auto& [body, is_complete] = value_of(look);
    return {is_complete ? exit_code::done : exit_code::incomplete,
            options.m_output == output_format::json ? to_text(body) : rollout_table(body), ""};
}

command_result show_timeline(const command_options& options, const session& access)
{
    const auto addresses = timeline_addresses(options, access);
    if (is_error(addresses)) {
        return failed(error_of(addresses));
    }
    command_result outcome;
    std::vector<json_value> entries;
    const auto target = fmt::format("/v1/timeline?limit={}", options.m_timeline_limit);
    for (const auto& address : value_of(addresses)) {
        const auto list = array_of(read_from(access, address, target), "entries");
        if (is_error(list)) {
            outcome.m_code = exit_code::incomplete;
            outcome.m_errors +=
                fmt::format("{} is missing: {}\n", address, describe(error_of(list)));
            continue;
        }
        entries.insert(entries.end(), value_of(list).begin(), value_of(list).end());
    }
    std::stable_sort(entries.begin(), entries.end(), [](const auto& left, const auto& right) {
        return order_of(left) < order_of(right);
    });
    if (options.m_output == output_format::json) {
        outcome.m_output = to_text({{"entries", entries}});
        return outcome;
    }
    for (const auto& entry : entries) {
        outcome.m_output += format_entry(entry) + '\n';
    }
    return outcome;
}

} // namespace chivevane::control
