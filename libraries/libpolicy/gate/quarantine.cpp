#include "libpolicy/gate/quarantine.h"

#include "libbase/rendezvous.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>
#include <tuple>

namespace chivevane::quarantine {

namespace {

/// Whether the upstream run of a strike belongs to the host called `name`.
bool names_host(std::string_view strike, std::string_view name)
{
    return strike.starts_with(name) && strike.substr(name.size()).starts_with('/');
}

bool has_serving_upstream(const member& peer, std::string_view service)
{
    const auto& upstreams = peer.m_latest.m_upstreams;
    return std::any_of(upstreams.begin(), upstreams.end(), [service](const auto& summary) {
        return summary.m_service == service && summary.m_phase == upstream_phase::serving;
    });
}

void evict_weakest_suspect(quarantine_state& state)
{
    const auto weakest = std::min_element(
        state.m_suspects.begin(), state.m_suspects.end(), [](const auto& left, const auto& right) {
            const auto rank = [](const suspected_request& each) {
                return std::tuple{each.m_running_attempt.has_value(), each.m_strikes.size(),
                                  each.m_expires_at};
            };
            return rank(left.second) < rank(right.second);
        });
    if (!weakest->second.m_running_attempt) {
        state.m_suspects.erase(weakest);
    }
}

} // namespace

bool add_strike(quarantine_state& state, std::uint64_t fingerprint, std::string_view strike,
                instant now)
{
    expire(state, now);
    if (!state.m_suspects.contains(fingerprint) && state.m_suspects.size() >= max_suspects) {
        evict_weakest_suspect(state);
    }
    auto& entry = state.m_suspects[fingerprint];
    auto& strikes = entry.m_strikes;
    if (std::find(strikes.begin(), strikes.end(), strike) != strikes.end()) {
        return false;
    }
    if (strikes.size() < strikes_to_quarantine) {
        strikes.emplace_back(strike);
        entry.m_expires_at = now + strike_lifetime;
    }
    return true;
}

void withdraw_strike(quarantine_state& state, std::uint64_t fingerprint, std::string_view strike)
{
    const auto found = state.m_suspects.find(fingerprint);
    if (found == state.m_suspects.end()) {
        return;
    }
    std::erase(found->second.m_strikes, strike);
    if (found->second.m_strikes.empty() && !found->second.m_running_attempt) {
        state.m_suspects.erase(found);
    }
}

standing standing_of(const quarantine_state& state, std::uint64_t fingerprint, instant now)
{
    const auto found = state.m_suspects.find(fingerprint);
    if (found == state.m_suspects.end() || found->second.m_strikes.empty() ||
        found->second.m_expires_at <= now) {
        return standing::clear;
    }
    return found->second.m_strikes.size() >= strikes_to_quarantine ? standing::quarantined
                                                                   : standing::suspected;
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
    std::vector<std::string> hosts_without_strike;
    const auto found = state.m_suspects.find(fingerprint);
    for (const auto& [name, peer] : members.m_members) {
        if (!membership::is_usable(peer) || !has_serving_upstream(peer, service)) {
            continue;
        }
        serving_hosts.push_back(name);
        const bool has_strike =
            found != state.m_suspects.end() &&
            std::any_of(
                found->second.m_strikes.begin(), found->second.m_strikes.end(),
                [&name = name](const std::string& strike) { return names_host(strike, name); });
        if (!has_strike) {
            hosts_without_strike.push_back(name);
        }
    }
    const auto owner =
        rendezvous_owner(std::to_string(fingerprint),
                         hosts_without_strike.empty() ? serving_hosts : hosts_without_strike);
    const auto* const known = membership::find_member(members, owner);
    return known == nullptr ? std::string_view{} : known->m_latest.m_identity.m_name;
}

} // namespace chivevane::quarantine
