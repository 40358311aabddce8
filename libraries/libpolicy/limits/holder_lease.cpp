#include "libpolicy/limits/holder_lease.h"

#include "libbase/rendezvous.h"
#include "libpolicy/limits/roster.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>

namespace chivevane::limits {

namespace {

/// A holder is marked this long after membership stops considering it alive.
constexpr duration removal_mark_delay = 1s;

/// A holder whose mark was cleared is not marked again for this long.
constexpr duration repeated_mark_delay = 30s;

/// Interval of store reads while the witnesses do not confirm the holder lease of this host.
constexpr duration store_confirmation_interval = 600ms;

constexpr std::size_t min_witness_count = 3; // With fewer, no witness could fail.
constexpr std::size_t witnesses_per_datacentre = 3;

/// A marked holder has stopped this long after a majority of its witnesses know of the mark: its
/// holder lease, the share leases granted under it and the loans granted under those have all
/// expired.
constexpr duration removal_wait =
    with_margin(holder_lease_duration) + with_margin(lease_duration) + with_margin(loan_lifetime);

/// The latest time such that a majority of `witnesses` have confirmed requests that were sent at or
/// after it; `instant::min()` if there is none.
instant majority_confirmed_at(const holder_lease_state& holder_lease,
                              const std::vector<host_identity>& witnesses)
{
    std::vector<instant> times;
    for (const auto& witness : witnesses) {
        const auto found = holder_lease.m_confirmed_at.find(witness);
        times.push_back(found == holder_lease.m_confirmed_at.end() ? instant::min()
                                                                   : found->second);
    }
    const auto majority = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), majority, times.end(), std::greater<>());
    return *majority;
}

instant confirmed_until(const holder_lease_state& holder_lease,
                        const std::vector<host_identity>& witnesses)
{
    if (witnesses.empty()) {
        return instant::max(); // A holder without witnesses is never marked for removal.
    }
    const auto asked_at = majority_confirmed_at(holder_lease, witnesses);
    return asked_at == instant::min() ? asked_at : asked_at + holder_lease_duration;
}

/// Whether enough witnesses know of the removal mark on `entry`, not counting its holder, that the
/// holder can no longer renew its holder lease.
bool is_fenced(const holder_lease_state& holder_lease, const roster_entry& entry)
{
    const auto informed_count = std::count_if(
        entry.m_witnesses.begin(), entry.m_witnesses.end(), [&](const host_identity& witness) {
            const auto known = holder_lease.m_known_roster_versions.find(witness);
            return witness != entry.m_host && known != holder_lease.m_known_roster_versions.end() &&
                   known->second >= entry.m_removal_version;
        });
    return static_cast<std::size_t>(informed_count) > entry.m_witnesses.size() / 2;
}

bool is_removable(const limits_state& state, const roster_entry& entry, instant now)
{
    const auto removal = state.m_holder_lease.m_removals.find(entry.m_host);
    return entry.m_removal_version != 0 && removal != state.m_holder_lease.m_removals.end() &&
           removal->second.m_removal_version == entry.m_removal_version &&
           removal->second.m_fenced_at && now >= *removal->second.m_fenced_at + removal_wait;
}

bool is_removal_mark_due(const limits_state& state, const roster_entry& entry, instant now)
{
    const auto missing = state.m_holder_lease.m_missing_since.find(entry.m_host);
    return entry.m_removal_version == 0 && !entry.m_witnesses.empty() &&
           missing != state.m_holder_lease.m_missing_since.end() &&
           now >= missing->second + removal_mark_delay;
}

/// Candidates for the witnesses of `self`, in a pseudo-random order that depends on `self`.
std::vector<const member*> ranked_candidates(const std::string& self,
                                             const membership_state& members)
{
    std::vector<const member*> candidates;
    for (const auto& [name, peer] : members.m_members) {
        if (name != self && membership::is_usable(peer)) {
            candidates.push_back(&peer);
        }
    }
    const auto weight = [&](const member* peer) {
        return stable_hash(peer->m_record.m_identity.m_name, stable_hash(self));
    };
    std::sort(candidates.begin(), candidates.end(),
              [&](const auto* a, const auto* b) { return weight(a) < weight(b); });
    return candidates;
}

std::vector<host_identity> pick_witnesses(reducer_context& context,
                                          const std::vector<const member*>& candidates)
{
    const auto& own_datacentre = context.m_settings.m_datacentre;
    const bool is_spread =
        std::any_of(candidates.begin(), candidates.end(), [&](const member* peer) {
            return peer->m_record.m_datacentre != own_datacentre;
        });
    std::map<std::string, std::size_t> taken{{own_datacentre, 1}};
    std::vector<host_identity> witnesses{context.m_settings.m_self};
    for (const auto* peer : candidates) {
        auto& count = taken[peer->m_record.m_datacentre];
        if (witnesses.size() < witness_count && (!is_spread || count < witnesses_per_datacentre)) {
            ++count;
            witnesses.push_back(peer->m_record.m_identity);
        }
    }
    return witnesses;
}

void update_missing_holders(limits_state& state, reducer_context& context,
                            const membership_state& members)
{
    auto& missing = state.m_holder_lease.m_missing_since;
    for (const auto& entry : state.m_roster.m_record.m_entries) {
        if (entry.m_host == context.m_settings.m_self || is_alive(members, entry.m_host)) {
            missing.erase(entry.m_host);
        }
        else {
            missing.try_emplace(entry.m_host, context.m_now);
        }
    }
}

/// Updates the tracked removals from the marks in the record. A mark that was cleared delays the
/// next mark of that holder.
void track_removal_marks(limits_state& state, instant now)
{
    auto& holder_lease = state.m_holder_lease;
    for (const auto& entry : state.m_roster.m_record.m_entries) {
        const auto known = holder_lease.m_removals.find(entry.m_host);
        if (entry.m_removal_version == 0 && known != holder_lease.m_removals.end()) {
            holder_lease.m_removals.erase(known);
            holder_lease.m_missing_since.insert_or_assign(entry.m_host, now + repeated_mark_delay);
        }
        else if (entry.m_removal_version != 0) {
            auto& removal = holder_lease.m_removals[entry.m_host];
            if (removal.m_removal_version != entry.m_removal_version) {
                removal = {entry.m_removal_version, std::nullopt};
            }
            if (!removal.m_fenced_at && is_fenced(holder_lease, entry)) {
                removal.m_fenced_at = now;
            }
        }
    }
    std::erase_if(holder_lease.m_removals, [&](const auto& removal) {
        return find_entry(state.m_roster.m_record, removal.first) == nullptr;
    });
}

bool has_removal_due(const limits_state& state, instant now)
{
    const auto& entries = state.m_roster.m_record.m_entries;
    return std::any_of(entries.begin(), entries.end(), [&](const roster_entry& entry) {
        return is_removable(state, entry, now) || is_removal_mark_due(state, entry, now);
    });
}

bool needs_store_confirmation(const limits_state& state, reducer_context& context)
{
    const auto& self = context.m_settings.m_self;
    const auto* const entry = find_entry(state.m_roster.m_record, self);
    return entry != nullptr &&
           confirmed_until(state.m_holder_lease, entry->m_witnesses) <
               context.m_now + holder_lease_duration / 2 &&
           (!state.m_holder_lease.m_store_confirmed_at ||
            context.m_now - *state.m_holder_lease.m_store_confirmed_at >
                store_confirmation_interval);
}

} // namespace

bool has_holder_lease(const limits_state& state, instant now)
{
    return now < state.m_holder_lease.m_valid_until;
}

void update_holder_lease(limits_state& state)
{
    auto& holder_lease = state.m_holder_lease;
    const auto& own = state.m_roster.m_own_witnesses;
    auto until = confirmed_until(holder_lease, own);
    for (const auto& other : holder_lease.m_unsettled_witnesses) {
        until = std::min(until, confirmed_until(holder_lease, other));
    }
    if (holder_lease.m_store_confirmed_at) {
        until = std::max(until, *holder_lease.m_store_confirmed_at + holder_lease_duration);
    }
    holder_lease.m_valid_until = until;
}

bool confirms_holder_lease(const limits_state& state, reducer_context& context,
                           const host_identity& holder)
{
    const auto* const entry = find_entry(state.m_roster.m_record, holder);
    if (entry == nullptr || entry->m_removal_version != 0) {
        return false;
    }
    const auto& witnesses = entry->m_witnesses;
    return std::find(witnesses.begin(), witnesses.end(), context.m_settings.m_self) !=
           witnesses.end();
}

std::vector<host_identity> choose_witnesses(const limits_state& state, reducer_context& context,
                                            const membership_state& members)
{
    const auto& self = context.m_settings.m_self;
    const auto candidates = ranked_candidates(self.m_name, members);
    const auto& present = state.m_roster.m_own_witnesses;
    const auto gone =
        std::count_if(present.begin(), present.end(), [&](const host_identity& witness) {
            return witness != self && !is_alive(members, witness);
        });
    const std::size_t tolerated = present.size() >= witness_count ? 1 : 0;
    const auto wanted = std::min(witness_count, candidates.size() + 1);
    const bool is_enough = present.size() >= wanted && static_cast<std::size_t>(gone) <= tolerated;
    if (is_enough || wanted < min_witness_count) {
        return present;
    }
    return pick_witnesses(context, candidates);
}

void plan_removals(limits_state& state, reducer_context& context, const membership_state& members,
                   roster_record& record)
{
    if (!is_roster_coordinator(context, members)) {
        return;
    }
    for (const auto& entry : state.m_roster.m_record.m_entries) {
        if (is_removable(state, entry, context.m_now)) {
            remove_entry(record, entry.m_host);
        }
        else if (is_removal_mark_due(state, entry, context.m_now)) {
            set_removal_version(record, entry.m_host, state.m_roster.m_version + 1);
        }
    }
}

void watch_holders(limits_state& state, reducer_context& context, const membership_state& members)
{
    update_missing_holders(state, context, members);
    state.m_holder_lease.m_known_roster_versions[context.m_settings.m_self] =
        state.m_roster.m_version;
    track_removal_marks(state, context.m_now);
    const bool has_new_witnesses =
        state.m_roster.m_units > 0 &&
        choose_witnesses(state, context, members) != state.m_roster.m_own_witnesses;
    if (needs_store_confirmation(state, context)) {
        schedule_roster_read(state, context);
    }
    else if (has_new_witnesses ||
             (has_removal_due(state, context.m_now) && is_roster_coordinator(context, members))) {
        schedule_roster_call(state, context);
    }
}

bool is_alive(const membership_state& members, const host_identity& host)
{
    const auto* const peer = membership::find_member(members, host.m_name);
    return peer != nullptr && membership::is_usable(*peer) && peer->m_record.m_identity == host;
}

bool is_roster_coordinator(reducer_context& context, const membership_state& members)
{
    std::vector<std::string> hosts;
    for (const auto& [name, peer] : members.m_members) {
        if (membership::is_usable(peer)) {
            hosts.push_back(name);
        }
    }
    return rendezvous_owner("roster", hosts) == context.m_settings.m_self.m_name;
}

} // namespace chivevane::limits
