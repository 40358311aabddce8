#include "libpolicy/membership/registration.h"

#include "libbase/result.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

namespace chivevane::membership {

namespace {

constexpr std::string_view hosts_prefix = "/chivevane/hosts/";

/// Lifetime of this host's entry in the store without a renewal. It is long because a stale entry
/// costs a new host only one unanswered datagram, and 2,400 hosts that renew three times in this
/// time already make 60 writes per second.
constexpr duration lease_length = 120s;
constexpr duration renewal_interval = lease_length / 3;

/// Time between two reads of the list of hosts by a host that has peers. The reads find hosts that
/// are isolated from all members known here.
constexpr duration reread_interval = 10min;

/// Longest time until a host without peers reads the list of hosts again.
constexpr duration longest_isolated_interval = 60s;

/// Time over which the first store calls of hosts that start together are spread.
constexpr duration start_jitter = 300ms;

/// Time over which the registrations of hosts are spread that have found peers already and do not
/// have to be found soon.
constexpr duration registration_jitter = 10s;

/// Time over which hosts register again after the store came back from an older copy. All of them
/// learn of that within a second. 2,400 hosts then make two calls each, together 48 per second.
/// With 60 s, 60 hosts exceeded their part of the store's write budget in some seconds.
constexpr duration return_spread = 100s;

/// Backoff after the first failed call; it doubles with every further one.
constexpr duration first_backoff = 1s;

/// Longest backoff. 2,400 hosts that register again within this time make 40 calls per second on a
/// store that recovers: each makes a renewal that finds its lease expired, a grant of a new lease,
/// and a write of the entry. With 120 s, three hosts that registered at the same time, together
/// with the writes for rate limit shares, exceeded one host's part of the store's write budget.
constexpr duration longest_backoff = 180s;

/// Returns a random duration between half and one and a half times `middle`.
duration jittered(duration middle, reducer_context& context)
{
    return from_seconds(to_seconds(middle) * (0.5 + uniform_fraction(context.m_random)));
}

std::string own_key(const reducer_context& context)
{
    return fmt::format("{}{}", hosts_prefix, context.m_settings.m_self.m_name);
}

/// Encodes the value of this host's entry: its address and data centre.
std::string encode_entry(const host_settings& settings)
{
    const auto& address = settings.m_address;
    return fmt::format("{} {} {} {} {} {}", address.m_ip, address.m_control_port,
                       address.m_gate_port, address.m_caller_port, address.m_admin_port,
                       settings.m_datacentre);
}

/// Decodes the value of an entry. Older builds write no data centre.
std::optional<registered_host> decode_entry(std::string name, const std::string& text)
{
    std::istringstream stream{text};
    registered_host host{std::move(name)};
    auto& address = host.m_address;
    stream >> address.m_ip >> address.m_control_port >> address.m_gate_port >>
        address.m_caller_port >> address.m_admin_port;
    if (!stream) {
        return std::nullopt;
    }
    stream >> host.m_datacentre;
    return host;
}

void call(registration_state& state, reducer_context& context, registration_step step,
          store_operation operation)
{
    state.m_step = step;
    emit(context, call_store{next_id(context), store_purpose::registration, std::move(operation)});
}

void on_entries(registration_state& state, reducer_context& context, const store_entries& entries)
{
    state.m_has_read_hosts = true;
    state.m_last_read_at = context.m_now;
    state.m_registered.clear();
    for (const auto& entry : entries.m_entries) {
        auto host = decode_entry(entry.m_key.substr(hosts_prefix.size()), entry.m_value);
        if (entry.m_key == own_key(context)) {
            state.m_key_version = entry.m_version;
        }
        else if (host && host->m_address != context.m_settings.m_address) {
            state.m_registered.push_back(std::move(*host));
        }
    }
    if (!state.m_is_registered) {
        const auto spread = state.m_registered.empty() ? start_jitter : registration_jitter;
        state.m_next_call =
            context.m_now + from_seconds(to_seconds(spread) * uniform_fraction(context.m_random));
    }
}

/// Returns the time between the grant of a lease and the write of the entry, for hosts that need
/// not be found soon. Their two calls should not fall into the same second: after an outage of the
/// store many hosts make them.
duration delay_before_write(const registration_state& state, reducer_context& context)
{
    const auto longest = state.m_registered.empty() ? duration{} : registration_jitter;
    return from_seconds(to_seconds(longest) * uniform_fraction(context.m_random));
}

void on_lease(registration_state& state, reducer_context& context, const store_lease& granted)
{
    state.m_lease = granted.m_lease;
    state.m_next_call =
        context.m_now + (state.m_is_registered ? jittered(renewal_interval, context)
                                               : delay_before_write(state, context));
}

void on_written(registration_state& state, reducer_context& context, const store_written& written)
{
    state.m_key_version = written.m_version;
    state.m_is_registered = true;
    state.m_next_call = context.m_now + jittered(renewal_interval, context);
}

/// Handles a conflict: the key exists in another version, written by an earlier run of this host or
/// by a write whose answer was lost.
void on_conflict(registration_state& state, reducer_context& context,
                 const store_conflict& conflict)
{
    state.m_key_version = conflict.m_current.m_version;
    state.m_next_call = context.m_now + jittered(first_backoff, context);
}

void on_lease_lost(registration_state& state, reducer_context& context)
{
    state.m_lease = 0;
    state.m_is_registered = false;
    state.m_key_version = 0;
    state.m_next_call = context.m_now + jittered(registration_jitter, context);
}

void on_failure(registration_state& state, reducer_context& context)
{
    const auto doublings = std::min<std::uint32_t>(state.m_failures++, 7);
    const auto backoff = std::min<duration>(first_backoff * (1U << doublings), longest_backoff);
    state.m_next_call = context.m_now + jittered(backoff, context);
}

void read_hosts(registration_state& state, reducer_context& context, std::size_t live_peers)
{
    const auto isolated_interval =
        std::min<duration>(first_backoff * (1U << std::min(state.m_reads_without_peers, 6U)),
                           longest_isolated_interval);
    state.m_reads_without_peers = live_peers == 0 ? state.m_reads_without_peers + 1 : 0;
    const auto interval = live_peers == 0 ? isolated_interval : duration{reread_interval};
    state.m_next_read = context.m_now + jittered(interval, context);
    call(state, context, registration_step::reading,
         store_read{std::string{hosts_prefix}, read_consistency::recent});
}

/// Returns the time of the next call. A host without peers writes its entry as soon as it has a
/// lease, and reads the list of hosts between renewals.
instant due_at(const registration_state& state, std::size_t live_peers)
{
    const bool is_write_next = state.m_lease != 0 && !state.m_is_registered;
    if (is_write_next && live_peers == 0 && state.m_failures == 0) {
        return instant::min();
    }
    const bool is_reread_pending =
        state.m_is_registered && live_peers == 0 && state.m_failures == 0;
    return is_reread_pending ? std::min(state.m_next_call, state.m_next_read) : state.m_next_call;
}

} // namespace

void start_registration(registration_state& state, reducer_context& context)
{
    state.m_next_call =
        context.m_now + from_seconds(to_seconds(start_jitter) * uniform_fraction(context.m_random));
}

void advance_registration(registration_state& state, reducer_context& context,
                          std::size_t live_peers)
{
    const auto now = context.m_now;
    if (state.m_step != registration_step::idle || state.m_is_ended ||
        now < due_at(state, live_peers)) {
        return;
    }
    if (!state.m_has_read_hosts || (state.m_is_registered && now >= state.m_next_read)) {
        read_hosts(state, context, live_peers);
    }
    else if (state.m_lease == 0) {
        call(state, context, registration_step::granting, store_grant_lease{lease_length});
    }
    else if (!state.m_is_registered) {
        call(state, context, registration_step::writing,
             store_compare_and_swap{own_key(context), state.m_key_version,
                                    encode_entry(context.m_settings), state.m_lease});
    }
    else {
        call(state, context, registration_step::renewing, store_renew_lease{state.m_lease});
    }
}

void on_registration_outcome(registration_state& state, reducer_context& context,
                             const store_outcome& outcome)
{
    state.m_step = registration_step::idle;
    if (std::exchange(state.m_is_call_outdated, false)) {
        return;
    }
    if (!std::holds_alternative<store_failure>(outcome)) {
        state.m_failures = 0;
    }
    std::visit(overloaded{
                   [&](const store_entries& entries) { on_entries(state, context, entries); },
                   [&](const store_written& written) { on_written(state, context, written); },
                   [&](const store_conflict& other) { on_conflict(state, context, other); },
                   [&](const store_lease& granted) { on_lease(state, context, granted); },
                   [&](const store_lease_not_found&) { on_lease_lost(state, context); },
                   [&](const store_failure&) { on_failure(state, context); },
               },
               outcome);
}

void on_store_returned(registration_state& state, reducer_context& context, std::uint64_t era,
                       std::size_t live_peers)
{
    state.m_store_era = std::max(state.m_store_era, era);
    const bool is_unregistered = state.m_lease == 0 && state.m_step != registration_step::granting;
    if (state.m_is_ended || is_unregistered) {
        return;
    }
    emit(context, record_event{"registration-dropped",
                               {{"lease", std::to_string(state.m_lease)},
                                {"era", std::to_string(state.m_store_era)}},
                               record_target::timeline_and_log});
    state.m_lease = 0;
    state.m_is_registered = false;
    state.m_is_call_outdated = state.m_step != registration_step::idle;
    const auto spread = live_peers == 0 ? start_jitter : return_spread;
    state.m_next_call =
        context.m_now + from_seconds(to_seconds(spread) * uniform_fraction(context.m_random));
}

void observe_store_era(registration_state& state, reducer_context& context, std::uint64_t era,
                       std::size_t live_peers)
{
    if (era > state.m_store_era) {
        on_store_returned(state, context, era, live_peers);
    }
}

void end_registration(registration_state& state, reducer_context& context)
{
    state.m_is_ended = true;
    if (state.m_lease != 0) {
        call(state, context, registration_step::idle, store_revoke_lease{state.m_lease});
    }
}

} // namespace chivevane::membership
