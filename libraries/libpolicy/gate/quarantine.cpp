#include "libpolicy/gate/quarantine.h"

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

void evict_weakest_suspect(quarantine_state& state)
{
    const auto weakest = std::min_element(
        state.m_suspects.begin(), state.m_suspects.end(), [](const auto& left, const auto& right) {
            const auto rank = [](const suspected_request& each) {
                return std::tuple{each.m_running_attempt.has_value(), each.m_crashed_runs.size(),
                                  each.m_expires_at};
            };
            return rank(left.second) < rank(right.second);
        });
    if (!weakest->second.m_running_attempt) {
        state.m_suspects.erase(weakest);
    }
}

} // namespace

bool add_crashed_run(quarantine_state& state, std::uint64_t fingerprint,
                     std::string_view crashed_run, instant now)
{
    expire(state, now);
    if (!state.m_suspects.contains(fingerprint) && state.m_suspects.size() >= max_suspects) {
        evict_weakest_suspect(state);
    }
    auto& entry = state.m_suspects[fingerprint];
    auto& crashed_runs = entry.m_crashed_runs;
    if (std::find(crashed_runs.begin(), crashed_runs.end(), crashed_run) != crashed_runs.end()) {
        return false;
    }
    if (crashed_runs.size() < crashed_runs_to_quarantine) {
        crashed_runs.emplace_back(crashed_run);
        entry.m_expires_at = now + crashed_run_lifetime;
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
    std::erase(found->second.m_crashed_runs, crashed_run);
    if (found->second.m_crashed_runs.empty() && !found->second.m_running_attempt) {
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
    return found->second.m_crashed_runs.size() >= crashed_runs_to_quarantine ? status::quarantined
                                                                             : status::suspected;
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
