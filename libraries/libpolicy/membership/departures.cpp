#include "libpolicy/membership/departures.h"

#include "libpolicy/membership/host_records.h"
#include "libpolicy/membership/membership.h"
#include "libpolicy/reducer_context.h"

#include <algorithm>

namespace chivevane::membership {

namespace {

/// How often a departure is reported, counting the first report at once.
constexpr std::uint32_t departure_sends = 3;

departure_entry entry_of(const upstream_id& upstream, const departure& known, instant now)
{
    const auto age = std::max<std::int64_t>(0, to_milliseconds(now - known.m_learnt_at));
    return {upstream, known.m_run, known.m_phase, static_cast<std::uint32_t>(age)};
}

void evict_oldest(departure_table& table)
{
    const auto oldest =
        std::min_element(table.m_departures.begin(), table.m_departures.end(),
                         [](const auto& left, const auto& right) {
                             return left.second.m_learnt_at < right.second.m_learnt_at;
                         });
    table.m_departures.erase(oldest);
}

/// Whether `entry` says something newer than what is known.
bool is_newer(const departure& known, const departure_entry& entry)
{
    if (entry.m_run != known.m_run) {
        return entry.m_run > known.m_run;
    }
    return entry.m_phase == upstream_phase::draining && known.m_phase == upstream_phase::serving;
}

/// Puts `entry` into the table if it is newer than what is known. Returns the changed departure, or
/// null.
departure* update_departure(departure_table& table, const departure_entry& entry, instant now)
{
    const auto known = table.m_departures.find(entry.m_upstream);
    if (known != table.m_departures.end() && !is_newer(known->second, entry)) {
        return nullptr;
    }
    if (known == table.m_departures.end() && table.m_departures.size() >= max_departures) {
        evict_oldest(table);
    }
    auto& changed = table.m_departures[entry.m_upstream];
    changed = {entry.m_run, entry.m_phase, now - std::chrono::milliseconds{entry.m_age_ms}};
    return &changed;
}

/// Records what an upstream on this host said, and reports it to the peers if it is new.
void record_and_report(membership_state& state, reducer_context& context,
                       const departure_entry& entry)
{
    if (auto* const changed = update_departure(state.m_departures, entry, context.m_now)) {
        changed->m_sends_left = departure_sends - 1;
        send_to_record_receivers(state, context, departure_report{{entry}});
    }
}

upstream_id own_upstream(const reducer_context& context, std::string_view endpoint)
{
    return {context.m_settings.m_self.m_name, std::string{endpoint}};
}

} // namespace

void record_departure(membership_state& state, reducer_context& context, std::string_view endpoint,
                      std::uint64_t run)
{
    record_and_report(state, context,
                      {own_upstream(context, endpoint), run, upstream_phase::draining});
}

void report_departure_to(const membership_state& state, reducer_context& context,
                         std::string_view receiver, std::string_view endpoint)
{
    const auto* const peer = find_member(state, receiver);
    const auto known = state.m_departures.m_departures.find(own_upstream(context, endpoint));
    if (peer == nullptr || known == state.m_departures.m_departures.end() ||
        is_record_receiver(state, *peer)) {
        return;
    }
    const auto entry = entry_of(known->first, known->second, context.m_now);
    emit(context, send_datagram{peer->m_record.m_address, departure_report{{entry}}});
}

void record_arrival(membership_state& state, reducer_context& context, std::string_view endpoint,
                    std::uint64_t run)
{
    const auto upstream = own_upstream(context, endpoint);
    if (state.m_departures.m_departures.contains(upstream)) {
        record_and_report(state, context, {upstream, run, upstream_phase::serving});
    }
}

void merge_departures(membership_state& state, const reducer_context& context,
                      std::span<const departure_entry> entries)
{
    for (const auto& entry : entries) {
        if (std::chrono::milliseconds{entry.m_age_ms} < departure_lifetime) {
            update_departure(state.m_departures, entry, context.m_now);
        }
    }
}

bool is_departed(const membership_state& state, const upstream_id& upstream)
{
    const auto& departures = state.m_departures.m_departures;
    const auto known = departures.find(upstream);
    return known != departures.end() && known->second.m_phase == upstream_phase::draining;
}

bool is_departed_run(const membership_state& state, const upstream_id& upstream, std::uint64_t run)
{
    return is_departed(state, upstream) &&
           run <= state.m_departures.m_departures.at(upstream).m_run;
}

std::vector<departure_entry> list_departures(const membership_state& state,
                                             const reducer_context& context)
{
    std::vector<departure_entry> entries;
    for (const auto& [upstream, known] : state.m_departures.m_departures) {
        entries.push_back(entry_of(upstream, known, context.m_now));
    }
    return entries;
}

void maintain_departures(membership_state& state, reducer_context& context)
{
    auto& departures = state.m_departures.m_departures;
    std::erase_if(departures, [&](const auto& each) {
        return context.m_now - each.second.m_learnt_at >= departure_lifetime;
    });
    for (auto& [upstream, known] : departures) {
        if (known.m_sends_left > 0) {
            --known.m_sends_left;
            send_to_record_receivers(state, context,
                                     departure_report{{entry_of(upstream, known, context.m_now)}});
        }
    }
}

} // namespace chivevane::membership
