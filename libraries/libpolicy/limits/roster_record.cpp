#include "libpolicy/limits/roster_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

namespace chivevane::limits {

namespace {

error malformed(std::string message)
{
    return {error_kind::malformed, std::move(message),
            "Restore the roster in the store from a backup, or stop all hosts and delete it."};
}

nlohmann::json encode_identity(const host_identity& host)
{
    return {{"host", host.m_name}, {"incarnation", host.m_incarnation}};
}

host_identity decode_identity(const nlohmann::json& json)
{
    return {json.at("host").get<std::string>(), json.at("incarnation").get<std::uint64_t>()};
}

roster_entry decode_entry(const nlohmann::json& json)
{
    roster_entry entry{decode_identity(json), json.at("units").get<std::uint32_t>()};
    for (const auto& witness : json.at("witnesses")) {
        entry.m_witnesses.push_back(decode_identity(witness));
    }
    entry.m_removal_version = json.at("mark").get<std::uint64_t>();
    return entry;
}

std::uint64_t sum_units(const roster_record& record)
{
    return std::accumulate(
        record.m_entries.begin(), record.m_entries.end(), std::uint64_t{record.m_free_units},
        [](std::uint64_t sum, const roster_entry& entry) { return sum + entry.m_units; });
}

std::vector<roster_entry>::iterator locate(roster_record& record, const host_identity& host)
{
    return std::find_if(record.m_entries.begin(), record.m_entries.end(),
                        [&](const auto& entry) { return entry.m_host == host; });
}

/// The largest number of units to which the lowest entries can be raised by `units` in total.
std::uint32_t balanced_level(const std::vector<roster_entry*>& entries_by_units,
                             std::uint32_t units)
{
    std::uint64_t sum = units;
    std::uint64_t level = 0;
    for (std::size_t count = 1; count <= entries_by_units.size(); ++count) {
        sum += entries_by_units[count - 1]->m_units;
        level = sum / count;
        if (count < entries_by_units.size() && level <= entries_by_units[count]->m_units) {
            break;
        }
    }
    return static_cast<std::uint32_t>(level);
}

} // namespace

std::string encode_roster(const roster_record& record)
{
    auto entries = nlohmann::json::array();
    for (const auto& entry : record.m_entries) {
        auto witnesses = nlohmann::json::array();
        for (const auto& witness : entry.m_witnesses) {
            witnesses.push_back(encode_identity(witness));
        }
        entries.push_back({{"host", entry.m_host.m_name},
                           {"incarnation", entry.m_host.m_incarnation},
                           {"units", entry.m_units},
                           {"witnesses", witnesses},
                           {"mark", entry.m_removal_version}});
    }
    return nlohmann::json{{"free", record.m_free_units}, {"entries", entries}}.dump();
}

result<roster_record> decode_roster(std::string_view text)
{
    roster_record record;
    try {
        const auto json = nlohmann::json::parse(text);
        record.m_free_units = json.at("free").get<std::uint32_t>();
        for (const auto& item : json.at("entries")) {
            record.m_entries.push_back(decode_entry(item));
        }
    }
    catch (const nlohmann::json::exception& failure) {
        return malformed(failure.what());
    }
    if (sum_units(record) != total_units) {
        return malformed("The units of the roster do not add up.");
    }
    return record;
}

const roster_entry* find_entry(const roster_record& record, const host_identity& host)
{
    const auto found = std::find_if(record.m_entries.begin(), record.m_entries.end(),
                                    [&](const auto& entry) { return entry.m_host == host; });
    return found == record.m_entries.end() ? nullptr : &*found;
}

void add_entry(roster_record& record, const host_identity& host)
{
    if (find_entry(record, host) != nullptr) {
        return;
    }
    const auto place = std::find_if(record.m_entries.begin(), record.m_entries.end(),
                                    [&](const auto& entry) { return host < entry.m_host; });
    record.m_entries.insert(place, {host, 0});
}

void remove_entry(roster_record& record, const host_identity& host)
{
    if (const auto entry = locate(record, host); entry != record.m_entries.end()) {
        record.m_free_units += entry->m_units;
        record.m_entries.erase(entry);
    }
}

void release_units(roster_record& record, const host_identity& host, std::uint32_t units)
{
    const auto entry = locate(record, host);
    if (entry != record.m_entries.end() && entry->m_units > units) {
        record.m_free_units += entry->m_units - units;
        entry->m_units = units;
    }
}

void set_removal_version(roster_record& record, const host_identity& host,
                         std::uint64_t removal_version)
{
    if (const auto entry = locate(record, host); entry != record.m_entries.end()) {
        entry->m_removal_version = removal_version;
    }
}

void assign_witnesses(roster_record& record, const host_identity& host,
                      std::vector<host_identity> witnesses)
{
    if (const auto entry = locate(record, host); entry != record.m_entries.end()) {
        entry->m_witnesses = std::move(witnesses);
    }
}

void distribute_free_units(roster_record& record)
{
    std::vector<roster_entry*> entries_by_units;
    for (auto& entry : record.m_entries) {
        entries_by_units.push_back(&entry);
    }
    std::stable_sort(entries_by_units.begin(), entries_by_units.end(),
                     [](const auto* a, const auto* b) { return a->m_units < b->m_units; });
    const auto level = balanced_level(entries_by_units, record.m_free_units);
    for (auto* entry : entries_by_units) {
        const auto given =
            entry->m_units < level ? std::min(level - entry->m_units, record.m_free_units) : 0;
        entry->m_units += given;
        record.m_free_units -= given;
    }
    for (auto* entry : entries_by_units) { // Assigns the remainder of the division, one unit each.
        const std::uint32_t given = std::min(1U, record.m_free_units);
        entry->m_units += given;
        record.m_free_units -= given;
    }
}

} // namespace chivevane::limits
