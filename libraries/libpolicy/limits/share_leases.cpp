#include "libpolicy/limits/share_leases.h"

#include "libbase/rendezvous.h"

#include "libpolicy/limits/holder_lease.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>
#include <cassert>

namespace chivevane::limits {

namespace {

constexpr duration round_interval = 300ms; // Two consecutive requests may be lost within a lease.
/// A host that has sent no share lease request for three rounds is not acting as a broker now.
constexpr duration silence_timeout = 950ms;
constexpr std::size_t ranked_brokers = 3;

/// Until when a broker may use a share that it requested at `sent_at`. Loans that it grants until
/// then expire before the lease does.
instant usable_until(instant sent_at)
{
    return sent_at + lease_duration - with_margin(loan_lifetime);
}

void remove_own_part(limits_state& state, reducer_context& context, std::size_t slot)
{
    if (state.m_leases.m_has_own_part[slot] != 0) {
        remove_part(state.m_pools[slot], context.m_settings.m_self, context.m_now);
        state.m_leases.m_has_own_part[slot] = 0;
    }
}

/// Adds this host's own share of `slot` to its pool, or removes it, depending on whether the host
/// may use it now. An added share refills tokens from `since` on.
void update_own_part(limits_state& state, reducer_context& context, std::size_t slot, instant since)
{
    auto& lent = state.m_leases.m_lent[slot];
    if (lent && lent->m_until <= context.m_now) {
        lent.reset();
    }
    const auto units = state.m_roster.m_units;
    if (lent || units == 0 || !has_holder_lease(state, context.m_now)) {
        remove_own_part(state, context, slot);
        return;
    }
    if (state.m_leases.m_has_own_part[slot] == 0) {
        const share_part own{context.m_settings.m_self, units, since, instant::max()};
        add_part(state.m_pools[slot], own, context.m_now);
        state.m_leases.m_has_own_part[slot] = 1;
    }
}

bool is_silent(const share_lease_state& leases, const std::string& name, instant now)
{
    const auto requested = leases.m_share_lease_request_at.find(name);
    const auto silent = leases.m_silent_until.find(name);
    return (requested != leases.m_share_lease_request_at.end() &&
            now - requested->second > silence_timeout) ||
           (silent != leases.m_silent_until.end() && silent->second > now);
}

/// Names of all hosts that may be brokers: first those that respond, then an empty name as a
/// separator, then those that seem silent.
std::vector<std::string> broker_candidates(share_lease_state& leases, reducer_context& context,
                                           const membership_state& members)
{
    const auto& self = context.m_settings.m_self.m_name;
    std::vector<std::string> hosts;
    std::vector<std::string> silent_hosts;
    for (const auto& [name, peer] : members.m_members) {
        if (name != self && !membership::is_usable(peer)) {
            continue;
        }
        leases.m_share_lease_request_at.try_emplace(name, context.m_now);
        const bool is_ranked_last = name != self && is_silent(leases, name, context.m_now);
        (is_ranked_last ? silent_hosts : hosts).push_back(name);
    }
    hosts.emplace_back(); // Separates the two groups.
    hosts.insert(hosts.end(), silent_hosts.begin(), silent_hosts.end());
    return hosts;
}

/// The `ranked_brokers` highest-ranked of `hosts` for a slot.
std::vector<std::string> rank_hosts(std::string_view slot_key, std::vector<std::string> hosts)
{
    std::vector<std::string> ranking;
    while (!hosts.empty() && ranking.size() < ranked_brokers) {
        ranking.emplace_back(rendezvous_owner(slot_key, hosts));
        hosts.erase(std::find(hosts.begin(), hosts.end(), ranking.back()));
    }
    return ranking;
}

void rank_brokers(share_lease_state& leases, reducer_context& context,
                  const membership_state& members)
{
    auto hosts = broker_candidates(leases, context, members);
    if (hosts == leases.m_ranked_hosts) {
        return;
    }
    leases.m_ranked_hosts = hosts;
    const auto separator = std::find(hosts.begin(), hosts.end(), std::string{});
    const std::vector<std::string> silent_hosts(separator + 1, hosts.end());
    hosts.erase(separator, hosts.end());
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        const auto key = std::to_string(slot);
        auto ranking = rank_hosts(key, hosts);
        // A broker that seems silent here may still be reached by other hosts, so it stays ranked.
        const auto last = rank_hosts(key, silent_hosts);
        ranking.insert(ranking.end(), last.begin(), last.end());
        leases.m_ranking[slot] = std::move(ranking);
    }
}

std::vector<std::uint8_t> brokered_slots(const share_lease_state& leases, const std::string& self)
{
    std::vector<std::uint8_t> slots;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        const auto& ranking = leases.m_ranking[slot];
        if (!ranking.empty() && ranking.front() == self) {
            slots.push_back(static_cast<std::uint8_t>(slot));
        }
    }
    return slots;
}

void send_share_lease_requests(limits_state& state, reducer_context& context,
                               const membership_state& members)
{
    auto& leases = state.m_leases;
    const auto& self = context.m_settings.m_self.m_name;
    const share_lease_request request{++leases.m_last_request_id, brokered_slots(leases, self),
                                      state.m_roster.m_version};
    leases.m_rounds.push_back({request.m_request_id, context.m_now});
    state.m_holder_lease.m_confirmed_at[context.m_settings.m_self] = context.m_now;
    update_holder_lease(state);
    while (context.m_now >= usable_until(leases.m_rounds.front().m_sent_at)) {
        leases.m_rounds.pop_front();
    }
    for (const auto& [name, peer] : members.m_members) {
        if (name != self && peer.m_status != member_status::dead) {
            emit(context, send_datagram{peer.m_record.m_address, request});
        }
    }
}

/// Leases this host's share of one slot to `broker`, or renews the lease. Returns false if the
/// share is leased to another broker or may not be leased now.
bool lend_slot(limits_state& state, reducer_context& context, std::size_t slot,
               const host_identity& broker)
{
    auto& pool = usable_pool(state, context, slot);
    auto& lent = state.m_leases.m_lent[slot];
    const bool is_taken = lent && lent->m_broker != broker;
    if (is_taken || state.m_roster.m_units == 0 || !has_holder_lease(state, context.m_now)) {
        return false;
    }
    if (!lent) {
        const auto* const own = find_part(pool, context.m_settings.m_self);
        if (own == nullptr || !can_release(pool, own->m_units)) {
            return false;
        }
        remove_own_part(state, context, slot);
    }
    lent = lent_slot{broker, context.m_now + with_margin(lease_duration)};
    return true;
}

void add_or_extend_part(slot_pool& pool, const share_part& offered, instant now)
{
    auto* const known = find_part(pool, offered.m_owner);
    if (known != nullptr && known->m_units == offered.m_units) {
        extend_part(pool, *known, offered.m_until);
        return;
    }
    remove_part(pool, offered.m_owner, now);
    add_part(pool, offered, now);
}

} // namespace

slot_pool& usable_pool(limits_state& state, reducer_context& context, std::size_t slot)
{
    auto& pool = state.m_pools[slot];
    expire_parts(pool, context.m_now);
    update_own_part(state, context, slot, context.m_now);
    return pool;
}

std::span<const std::string> brokers_of(const limits_state& state, std::size_t slot)
{
    return state.m_leases.m_ranking[slot];
}

void run_lease_round(limits_state& state, reducer_context& context, const membership_state& members)
{
    auto& leases = state.m_leases;
    if (context.m_now < leases.m_next_round) {
        return;
    }
    leases.m_next_round = context.m_now + round_interval;
    rank_brokers(leases, context, members);
    watch_holders(state, context, members);
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        usable_pool(state, context, slot);
    }
    send_share_lease_requests(state, context, members);
}

void answer_share_lease_request(limits_state& state, reducer_context& context,
                                const membership_state& members, const host_identity& sender,
                                const share_lease_request& request)
{
    state.m_leases.m_share_lease_request_at[sender.m_name] = context.m_now;
    const auto* const peer = membership::find_member(members, sender.m_name);
    if (peer == nullptr) {
        return;
    }
    share_lease_response response{
        request.m_request_id, state.m_roster.m_units, {}, state.m_roster.m_version};
    for (const auto slot : request.m_slots) {
        if (slot < slot_count && lend_slot(state, context, slot, sender)) {
            response.m_slots.push_back(slot);
        }
    }
    response.m_confirms_holder_lease = confirms_holder_lease(state, context, sender);
    if (response.m_confirms_holder_lease || !response.m_slots.empty()) {
        emit(context, send_datagram{peer->m_record.m_address, std::move(response)});
    }
}

void apply_share_lease_response(limits_state& state, reducer_context& context,
                                const host_identity& sender, const share_lease_response& response)
{
    const auto& rounds = state.m_leases.m_rounds;
    const auto round = std::find_if(rounds.begin(), rounds.end(), [&](const auto& known) {
        return known.m_request_id == response.m_request_id;
    });
    if (round == rounds.end()) {
        return;
    }
    if (response.m_confirms_holder_lease) {
        auto& confirmed_at = state.m_holder_lease.m_confirmed_at[sender];
        confirmed_at = std::max(confirmed_at, round->m_sent_at);
        update_holder_lease(state);
    }
    if (context.m_now >= usable_until(round->m_sent_at) || response.m_units == 0 ||
        response.m_units > total_units) {
        return;
    }
    const share_part offered{sender, response.m_units, context.m_now,
                             usable_until(round->m_sent_at)};
    for (const auto slot : response.m_slots) {
        if (slot < slot_count) {
            add_or_extend_part(usable_pool(state, context, slot), offered, context.m_now);
        }
    }
}

void resize_own_share(limits_state& state, reducer_context& context, std::uint32_t units,
                      instant since)
{
    state.m_roster.m_units = units;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        expire_parts(state.m_pools[slot], context.m_now);
        remove_own_part(state, context, slot);
        update_own_part(state, context, slot, since);
    }
}

} // namespace chivevane::limits
