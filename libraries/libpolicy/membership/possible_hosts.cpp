#include "libpolicy/membership/possible_hosts.h"

#include "libpolicy/membership/membership.h"

#include <algorithm>
#include <set>

namespace chivevane::membership {

namespace {

/// Age that a read of the list of hosts may have, as the store may answer from a replica.
constexpr duration longest_read_age = 10s;

/// Time between two reads of the list of hosts while a host that may be running is dead for this
/// host.
constexpr duration reread_interval = 1min;

std::set<std::string_view> registered_names(const registration_state& registration)
{
    std::set<std::string_view> names;
    for (const auto& host : registration.m_registered) {
        names.insert(host.m_name);
    }
    return names;
}

/// Whether the registration of a dead member has ended since its last round.
bool is_unregistered(const registration_state& registration, const member& peer,
                     const std::set<std::string_view>& registered)
{
    return peer.m_status == member_status::dead && registration.m_has_read_hosts &&
           registration.m_last_read_at >= peer.m_last_round_at + longest_read_age &&
           !registered.contains(peer.m_record.m_identity.m_name);
}

} // namespace

std::vector<possible_host> possible_hosts(const membership_state& state)
{
    const auto& registration = state.m_registration;
    const auto registered = registered_names(registration);
    std::vector<possible_host> hosts;
    for (const auto& [name, peer] : state.m_members) {
        const bool is_self = name == state.m_own_record.m_identity.m_name;
        if (!is_self && peer.m_record.m_status != member_status::leaving &&
            !is_unregistered(registration, peer, registered)) {
            hosts.push_back({name, &peer.m_record.m_address, &peer});
        }
    }
    for (const auto& host : registration.m_registered) {
        if (!state.m_members.contains(host.m_name)) {
            hosts.push_back({host.m_name, &host.m_address, nullptr});
        }
    }
    return hosts;
}

std::size_t count_possible_hosts(const membership_state& state)
{
    return std::max(state.m_possible_hosts, count_live_peers(state) + 1);
}

void update_possible_hosts(membership_state& state)
{
    const auto hosts = possible_hosts(state);
    state.m_possible_hosts = hosts.size() + 1;
    const bool is_any_dead = std::any_of(hosts.begin(), hosts.end(), [](const auto& host) {
        return host.m_member != nullptr && host.m_member->m_status == member_status::dead;
    });
    auto& registration = state.m_registration;
    if (is_any_dead && registration.m_has_read_hosts) {
        registration.m_next_read =
            std::min(registration.m_next_read, registration.m_last_read_at + reread_interval);
    }
}

} // namespace chivevane::membership
