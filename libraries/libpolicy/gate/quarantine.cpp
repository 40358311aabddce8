#include "libpolicy/gate/quarantine.h"

#include "libbase/digest.h"
#include "libbase/rendezvous.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>
#include <tuple>

namespace chivevane::quarantine {

namespace {

/// Whether a crashed run is one of an upstream on the host called `name`.
bool names_host(std::string_view crashed_run, std::string_view name)
{
    return crashed_run.starts_with(name) && crashed_run.substr(name.size()).starts_with('/');
}

bool has_serving_upstream(const member& peer, std::string_view service)
{
    const auto& upstreams = peer.m_record.m_upstreams;
    return std::any_of(upstreams.begin(), upstreams.end(), [service](const auto& summary) {
        return summary.m_service == service && summary.m_phase == upstream_phase::serving;
    });
}

/// Number of crashed runs of one request that a host remembers, to recognise repeated reports.
constexpr std::size_t max_crashed_runs = 4;

/// Number of low bits of a fingerprint that depend on the request.
constexpr std::uint32_t request_bits = 48;

/// Quarantines after which the next one gets no longer.
constexpr std::uint32_t max_quarantine_growths = 6;

std::uint64_t organisation_bits(std::uint64_t fingerprint)
{
    return fingerprint >> request_bits;
}

duration quarantine_length(std::uint32_t quarantines)
{
    auto length = first_quarantine;
    for (auto left = std::min(quarantines, max_quarantine_growths); left > 1; --left) {
        length *= quarantine_growth;
    }
    return length;
}

/// Whether `left` is weaker evidence than `right`.
bool is_weaker(const suspected_request& left, const suspected_request& right)
{
    const auto rank = [](const suspected_request& each) {
        return std::tuple{each.m_running_attempt.has_value(), each.m_quarantines,
                          each.m_crashed_runs.size(), each.m_expires_at};
    };
    return rank(left) < rank(right);
}

/// Returns the organisation bits that most suspects share.
std::uint64_t most_frequent_organisation(const quarantine_state& state)
{
    std::map<std::uint64_t, std::size_t> counts;
    for (const auto& [fingerprint, suspect] : state.m_suspects) {
        ++counts[organisation_bits(fingerprint)];
    }
    return std::max_element(
               counts.begin(), counts.end(),
               [](const auto& left, const auto& right) { return left.second < right.second; })
        ->first;
}

void evict_weakest_suspect(quarantine_state& state)
{
    const auto organisation = most_frequent_organisation(state);
    auto weakest = state.m_suspects.end();
    for (auto each = state.m_suspects.begin(); each != state.m_suspects.end(); ++each) {
        if (organisation_bits(each->first) == organisation &&
            (weakest == state.m_suspects.end() || is_weaker(each->second, weakest->second))) {
            weakest = each;
        }
    }
    if (!weakest->second.m_running_attempt) {
        state.m_suspects.erase(weakest);
    }
}

suspected_request& find_or_add_suspect(quarantine_state& state, std::uint64_t fingerprint,
                                       instant now)
{
    expire(state, now);
    if (!state.m_suspects.contains(fingerprint) && state.m_suspects.size() >= max_suspects) {
        evict_weakest_suspect(state);
    }
    return state.m_suspects[fingerprint];
}

/// Remembers a crashed run. Returns false if it is known already.
bool remember_run(suspected_request& suspect, std::string_view crashed_run)
{
    auto& runs = suspect.m_crashed_runs;
    if (std::find(runs.begin(), runs.end(), crashed_run) != runs.end()) {
        return false;
    }
    if (runs.size() >= max_crashed_runs) {
        runs.erase(runs.begin());
    }
    runs.emplace_back(crashed_run);
    return true;
}

/// Whether a crashed run that is reported now began before the latest quarantine did. Runs after
/// the quarantine come late in it at the earliest, as the hosts do not end it at the same moment.
bool is_run_of_latest_quarantine(const suspected_request& suspect, instant now)
{
    const auto length = suspect.m_quarantined_until - suspect.m_quarantined_at;
    return suspect.m_quarantines > 0 && now < suspect.m_quarantined_at + length / 2;
}

void begin_quarantine(suspected_request& suspect, instant now)
{
    ++suspect.m_quarantines;
    suspect.m_quarantined_at = now;
    suspect.m_quarantined_until = now + quarantine_length(suspect.m_quarantines);
    suspect.m_expires_at = suspect.m_quarantined_until + suspicion_after_quarantine;
}

std::uint64_t milliseconds_until(instant end, instant now)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, to_milliseconds(end - now)));
}

} // namespace

std::uint64_t make_fingerprint(std::string_view organisation, std::uint64_t request_hash)
{
    const auto low_mask = (std::uint64_t{1} << request_bits) - 1;
    return (stable_hash(organisation) << request_bits) | (request_hash & low_mask);
}

bool add_crashed_run(quarantine_state& state, std::uint64_t fingerprint,
                     std::string_view crashed_run, instant now)
{
    auto& suspect = find_or_add_suspect(state, fingerprint, now);
    if (!remember_run(suspect, crashed_run)) {
        return false;
    }
    if (suspect.m_crashed_runs.size() < crashed_runs_to_quarantine) {
        suspect.m_expires_at = now + crashed_run_lifetime;
    }
    else if (!is_run_of_latest_quarantine(suspect, now)) {
        begin_quarantine(suspect, now);
    }
    return true;
}

void withdraw_crashed_run(quarantine_state& state, std::uint64_t fingerprint,
                          std::string_view crashed_run)
{
    const auto found = state.m_suspects.find(fingerprint);
    if (found == state.m_suspects.end()) {
        return;
    }
    auto& suspect = found->second;
    std::erase(suspect.m_crashed_runs, crashed_run);
    if (suspect.m_crashed_runs.size() < crashed_runs_to_quarantine) {
        suspect.m_quarantines = 0;
        suspect.m_quarantined_until = suspect.m_quarantined_at;
        suspect.m_expires_at =
            std::min(suspect.m_expires_at, suspect.m_quarantined_at + crashed_run_lifetime);
    }
    if (suspect.m_crashed_runs.empty() && !suspect.m_running_attempt) {
        state.m_suspects.erase(found);
    }
}

status request_status_of(const quarantine_state& state, std::uint64_t fingerprint, instant now)
{
    const auto found = state.m_suspects.find(fingerprint);
    if (found == state.m_suspects.end() || found->second.m_crashed_runs.empty() ||
        found->second.m_expires_at <= now) {
        return status::clear;
    }
    return now < found->second.m_quarantined_until ? status::quarantined : status::suspected;
}

bool was_quarantined(const quarantine_state& state, std::uint64_t fingerprint)
{
    const auto found = state.m_suspects.find(fingerprint);
    return found != state.m_suspects.end() && found->second.m_quarantines > 0;
}

std::vector<crash_record> list_records(const quarantine_state& state, instant now)
{
    std::vector<crash_record> records;
    for (const auto& [fingerprint, suspect] : state.m_suspects) {
        records.push_back({fingerprint, suspect.m_crashed_runs, suspect.m_quarantines,
                           milliseconds_until(suspect.m_quarantined_until, now),
                           milliseconds_until(suspect.m_expires_at, now)});
    }
    return records;
}

void merge_record(quarantine_state& state, const crash_record& record, instant now)
{
    const auto lifetime = std::chrono::milliseconds{record.m_lifetime_left_ms};
    if (record.m_crashed_runs.empty() || lifetime == std::chrono::milliseconds{}) {
        return;
    }
    auto& suspect = find_or_add_suspect(state, record.m_fingerprint, now);
    for (const auto& crashed_run : record.m_crashed_runs) {
        remember_run(suspect, crashed_run);
    }
    suspect.m_expires_at = std::max<instant>(suspect.m_expires_at, now + lifetime);
    if (record.m_quarantines > suspect.m_quarantines) {
        suspect.m_quarantines = record.m_quarantines;
        suspect.m_quarantined_until = now + std::chrono::milliseconds{record.m_quarantine_left_ms};
        suspect.m_quarantined_at =
            suspect.m_quarantined_until - quarantine_length(record.m_quarantines);
    }
}

void expire(quarantine_state& state, instant now)
{
    std::erase_if(state.m_suspects, [now](const auto& entry) {
        return entry.second.m_expires_at <= now && !entry.second.m_running_attempt;
    });
}

std::string_view owner_of(const quarantine_state& state, const membership_state& members,
                          std::string_view service, std::uint64_t fingerprint)
{
    std::vector<std::string> serving_hosts;
    std::vector<std::string> hosts_without_crashed_run;
    const auto found = state.m_suspects.find(fingerprint);
    for (const auto& [name, peer] : members.m_members) {
        if (!membership::is_usable(peer) || !has_serving_upstream(peer, service)) {
            continue;
        }
        serving_hosts.push_back(name);
        const bool has_crashed_run =
            found != state.m_suspects.end() &&
            std::any_of(found->second.m_crashed_runs.begin(), found->second.m_crashed_runs.end(),
                        [&name = name](const std::string& crashed_run) {
                            return names_host(crashed_run, name);
                        });
        if (!has_crashed_run) {
            hosts_without_crashed_run.push_back(name);
        }
    }
    const auto owner = rendezvous_owner(
        std::to_string(fingerprint),
        hosts_without_crashed_run.empty() ? serving_hosts : hosts_without_crashed_run);
    const auto* const known = membership::find_member(members, owner);
    return known == nullptr ? std::string_view{} : known->m_record.m_identity.m_name;
}

} // namespace chivevane::quarantine
