#include "libpolicy/limits/roster.h"

#include "libpolicy/limits/holder_lease.h"
#include "libpolicy/limits/share_leases.h"

#include <algorithm>

namespace chivevane::limits {

namespace {

constexpr duration call_jitter = 500ms; // Hosts that see the same change call at different times.
constexpr duration first_backoff = 1s;  // Doubles with each failure.
constexpr std::uint32_t max_doublings = 5;  // 32 s between calls while the store is unavailable.
constexpr duration longest_fill_time = 24h; // Longer than any bucket takes to fill.

/// A holder keeps at most this many times an even share, which limits the effect of one death.
constexpr double tolerated_imbalance = 1.5;

duration jitter(reducer_context& context, duration longest)
{
    return from_seconds(to_seconds(longest) * uniform_fraction(context.m_random));
}

void schedule_call(roster_state& roster, instant at)
{
    roster.m_next_call = std::min(roster.m_next_call, at);
}

std::uint32_t allocated_units(const roster_state& roster, const host_identity& self)
{
    const auto* const entry = find_entry(roster.m_record, self);
    return entry == nullptr ? 0 : entry->m_units;
}

/// The time from which no host can use units that this host stops lending now.
instant end_of_lending(const limits_state& state, reducer_context& context)
{
    auto end = context.m_now;
    for (const auto& lent : state.m_leases.m_lent) {
        end = lent ? std::max(end, lent->m_until) : end;
    }
    const auto& expiries = state.m_lending.m_expiries;
    return expiries.empty() ? end : std::max(end, expiries.back().m_at);
}

/// Stops the use of all but `units`. The others can be released once no host uses them any more.
void retain_units(limits_state& state, reducer_context& context, std::uint32_t units)
{
    auto& roster = state.m_roster;
    roster.m_retained_units = units;
    if (units < roster.m_units) {
        roster.m_surplus_unused_at = end_of_lending(state, context);
        resize_own_share(state, context, units, context.m_now);
    }
    schedule_call(roster, std::max(context.m_now, roster.m_surplus_unused_at));
}

bool is_surplus_unused(const roster_state& roster, instant now)
{
    return now >= roster.m_surplus_unused_at;
}

/// Uses the units that the record assigns to this host, up to those that it retains. Units that are
/// new in use refill tokens from `since` on.
void use_allocated_units(limits_state& state, reducer_context& context, instant since)
{
    auto& roster = state.m_roster;
    const auto allocated = allocated_units(roster, context.m_settings.m_self);
    auto usable = std::min(allocated, roster.m_retained_units);
    if (roster.m_unsettled_version) {
        usable = std::min(usable, roster.m_units);
    }
    if (usable != roster.m_units) {
        resize_own_share(state, context, usable, since);
    }
}

/// Every holder's number of units if the roster is divided evenly.
std::uint32_t fair_units(const roster_state& roster)
{
    const auto holders = std::max<std::size_t>(1, roster.m_record.m_entries.size());
    return static_cast<std::uint32_t>(total_units / holders);
}

bool is_too_much(const roster_state& roster, std::uint32_t units)
{
    return units > tolerated_imbalance * fair_units(roster) + 1;
}

void release_surplus(limits_state& state, reducer_context& context)
{
    auto& roster = state.m_roster;
    if (roster.m_retained_units == total_units && is_too_much(roster, roster.m_units)) {
        retain_units(state, context, fair_units(roster));
    }
}

void erase_removed_declarations(roster_state& roster)
{
    std::erase_if(roster.m_declared_dead, [&](const auto& declared) {
        return find_entry(roster.m_record, declared.first) == nullptr;
    });
}

/// Takes this host's witnesses from the record. Lists that it proposed in writes are kept while
/// such a write may still take effect.
void update_own_witnesses(limits_state& state, reducer_context& context)
{
    auto& roster = state.m_roster;
    const auto* const entry = find_entry(roster.m_record, context.m_settings.m_self);
    roster.m_own_witnesses = entry == nullptr ? std::vector<host_identity>{} : entry->m_witnesses;
    if (!roster.m_unsettled_version) {
        state.m_holder_lease.m_unsettled_witnesses.clear();
    }
}

/// Replaces the known record by a newer one. An older record, which a delayed answer may contain,
/// is ignored.
void adopt(limits_state& state, reducer_context& context, roster_record record,
           std::uint64_t version, instant since)
{
    auto& roster = state.m_roster;
    if (version <= roster.m_version) {
        return;
    }
    roster.m_record = std::move(record);
    roster.m_version = version;
    roster.m_newest_known_version = std::max(roster.m_newest_known_version, version);
    if (roster.m_unsettled_version && version > *roster.m_unsettled_version) {
        // A write that expected an older version can no longer take effect.
        roster.m_unsettled_version.reset();
    }
    const auto allocated = allocated_units(roster, context.m_settings.m_self);
    if (roster.m_phase == roster_phase::member && !is_too_much(roster, allocated)) {
        roster.m_retained_units = total_units;
    }
    if (roster.m_phase == roster_phase::leaving && allocated == 0) {
        roster.m_phase = roster_phase::left;
    }
    erase_removed_declarations(roster);
    update_own_witnesses(state, context);
    update_holder_lease(state);
    use_allocated_units(state, context, since);
    release_surplus(state, context);
    schedule_call(roster, context.m_now + jitter(context, call_jitter));
}

/// Renews this host's holder lease if `record`, which was the newest record in the store at some
/// time after `asked_at`, has this host's entry without a removal mark.
void record_store_confirmation(limits_state& state, reducer_context& context,
                               const roster_record& record, std::uint64_t version, instant asked_at)
{
    const auto* const entry = find_entry(record, context.m_settings.m_self);
    if (version >= state.m_roster.m_version && entry != nullptr && entry->m_removal_version == 0) {
        state.m_holder_lease.m_store_confirmed_at = asked_at;
        update_holder_lease(state);
    }
}

void adopt_entry(limits_state& state, reducer_context& context, const store_entry& entry,
                 instant asked_at)
{
    auto decoded = decode_roster(entry.m_value);
    if (is_error(decoded)) {
        emit(context, record_event{"roster-malformed",
                                   {{"reason", describe(error_of(decoded))}},
                                   record_target::timeline_and_log});
        return;
    }
    record_store_confirmation(state, context, value_of(decoded), entry.m_version, asked_at);
    adopt(state, context, value_of(std::move(decoded)), entry.m_version, context.m_now);
}

void remove_declared_dead(roster_state& roster, instant now, const membership_state& members,
                          roster_record& record)
{
    for (const auto& entry : roster.m_record.m_entries) {
        const auto declared = roster.m_declared_dead.find(entry.m_host);
        if (declared == roster.m_declared_dead.end() || is_alive(members, entry.m_host)) {
            continue;
        }
        if (now < declared->second) {
            schedule_call(roster, declared->second);
        }
        else {
            remove_entry(record, entry.m_host);
        }
    }
}

/// The record that this host wants to be in the store.
roster_record plan_record(limits_state& state, reducer_context& context,
                          const membership_state& members)
{
    auto& roster = state.m_roster;
    const auto& self = context.m_settings.m_self;
    auto record = roster.m_record;
    remove_declared_dead(roster, context.m_now, members, record);
    plan_removals(state, context, members, record);
    if (roster.m_phase != roster_phase::member) {
        if (is_surplus_unused(roster, context.m_now)) {
            remove_entry(record, self);
        }
    }
    else {
        add_entry(record, self);
        set_removal_version(record, self, 0);
        assign_witnesses(record, self, choose_witnesses(state, context, members));
        if (is_surplus_unused(roster, context.m_now)) {
            release_units(record, self, roster.m_retained_units);
        }
    }
    if (record != roster.m_record || is_roster_coordinator(context, members)) {
        distribute_free_units(record);
    }
    return record;
}

void send_call(roster_state& roster, reducer_context& context, roster_call call,
               store_operation operation)
{
    call.m_operation = next_id(context);
    call.m_sent_at = context.m_now;
    emit(context, call_store{call.m_operation, store_purpose::roster, std::move(operation)});
    roster.m_call = std::move(call);
    roster.m_next_call = instant::max();
}

void read_roster(roster_state& roster, reducer_context& context)
{
    send_call(roster, context, {}, store_read{std::string{roster_key}});
}

void write_roster(limits_state& state, reducer_context& context, roster_record record)
{
    auto& roster = state.m_roster;
    const auto* const entry = find_entry(record, context.m_settings.m_self);
    if (entry != nullptr && entry->m_witnesses != roster.m_own_witnesses) {
        // Other hosts may read the proposed list from now on.
        state.m_holder_lease.m_unsettled_witnesses.push_back(entry->m_witnesses);
        update_holder_lease(state);
    }
    store_compare_and_swap write{std::string{roster_key}, roster.m_version, encode_roster(record)};
    send_call(roster, context,
              {0, roster_call_kind::write, {}, roster.m_version, std::move(record)},
              std::move(write));
}

void on_call_failure(roster_state& roster, reducer_context& context, const roster_call& call,
                     const store_failure& failure)
{
    if (call.m_kind == roster_call_kind::write && failure.m_kind == store_failure_kind::unknown) {
        roster.m_unsettled_version = call.m_expected_version;
    }
    const auto backoff = first_backoff * (1 << std::min(roster.m_failures, max_doublings));
    ++roster.m_failures;
    schedule_call(roster, context.m_now + backoff / 2 + jitter(context, backoff));
    roster.m_is_read_required = true;
}

} // namespace

void start_roster(limits_state& state, reducer_context& context)
{
    read_roster(state.m_roster, context);
}

void on_roster_answer(limits_state& state, reducer_context& context, std::uint64_t operation_id,
                      const store_outcome& outcome)
{
    auto& roster = state.m_roster;
    if (!roster.m_call || roster.m_call->m_operation != operation_id) {
        return;
    }
    const auto call = std::move(*roster.m_call);
    roster.m_call.reset();
    if (const auto* const failure = std::get_if<store_failure>(&outcome)) {
        on_call_failure(roster, context, call, *failure);
        return;
    }
    roster.m_failures = 0;
    roster.m_is_read_required = false;
    if (const auto* const entries = std::get_if<store_entries>(&outcome)) {
        for (const auto& entry : entries->m_entries) {
            adopt_entry(state, context, entry, call.m_sent_at);
        }
        schedule_call(roster, context.m_now);
    }
    else if (const auto* const conflict = std::get_if<store_conflict>(&outcome)) {
        adopt_entry(state, context, conflict->m_current, call.m_sent_at);
    }
    else if (const auto* const written = std::get_if<store_written>(&outcome)) {
        // If this write created the record, no host held a share before, so all buckets are full.
        const auto since =
            call.m_expected_version == 0 ? context.m_now - longest_fill_time : context.m_now;
        record_store_confirmation(state, context, call.m_proposed, written->m_version,
                                  call.m_sent_at);
        adopt(state, context, call.m_proposed, written->m_version, since);
    }
}

void run_roster(limits_state& state, reducer_context& context, const membership_state& members)
{
    auto& roster = state.m_roster;
    if (roster.m_call || context.m_now < roster.m_next_call) {
        return;
    }
    roster.m_next_call = instant::max();
    if (roster.m_is_read_required || roster.m_newest_known_version > roster.m_version) {
        read_roster(roster, context);
        return;
    }
    if (auto record = plan_record(state, context, members); record != roster.m_record) {
        write_roster(state, context, std::move(record));
    }
    else if (!is_surplus_unused(roster, context.m_now)) {
        schedule_call(roster, roster.m_surplus_unused_at);
    }
}

void observe_roster_version(limits_state& state, reducer_context& context, std::uint64_t version)
{
    auto& roster = state.m_roster;
    if (version > roster.m_newest_known_version) {
        roster.m_newest_known_version = version;
        schedule_roster_call(state, context);
    }
}

void leave_roster(limits_state& state, reducer_context& context)
{
    state.m_roster.m_phase = roster_phase::leaving;
    retain_units(state, context, 0);
}

void declare_holder_dead(limits_state& state, reducer_context& context, std::string_view name)
{
    // A share that the host leased before it ended may be in use until the lease expires.
    const auto last_lease_end = context.m_now + with_margin(lease_duration);
    for (const auto& entry : state.m_roster.m_record.m_entries) {
        if (entry.m_host.m_name == name) {
            state.m_roster.m_declared_dead.insert_or_assign(entry.m_host, last_lease_end);
        }
    }
    schedule_call(state.m_roster, last_lease_end);
}

void schedule_roster_call(limits_state& state, reducer_context& context)
{
    if (state.m_roster.m_failures == 0) {
        schedule_call(state.m_roster, context.m_now + jitter(context, call_jitter));
    }
}

void schedule_roster_read(limits_state& state, reducer_context& context)
{
    if (!state.m_roster.m_call) {
        state.m_roster.m_is_read_required = true;
        schedule_roster_call(state, context);
    }
}

} // namespace chivevane::limits
