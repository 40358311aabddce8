#include "libpolicy/recovery/recovery.h"

#include "libpolicy/gate/quarantine.h"
#include "libpolicy/gate/upstream_departures.h"
#include "libpolicy/host_state.h"
#include "libpolicy/membership/departures.h"
#include "libpolicy/membership/host_records.h"
#include "libpolicy/membership/membership.h"
#include "libpolicy/membership/peers.h"

#include <algorithm>
#include <array>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace chivevane::recovery {

namespace {

/// Number of recovered peers of each group whose answers complete the recovery. More than one, as
/// the report of a change to a single peer may have been lost.
constexpr std::size_t answers_needed = 3;

/// Time after the start of a process after which its recovery ends in any case.
constexpr duration recovery_limit = 5s;

constexpr duration first_request_interval = 200ms; ///< Doubles with each request.
constexpr duration max_request_interval = 1s;

/// Largest size in bytes of the entries in one part of an answer with more than one. The rest of
/// the datagram holds names, addresses and the signature.
constexpr std::size_t part_size = 900;

/// Sizes in bytes of encoded entries without their names.
constexpr std::size_t departure_overhead = 17;
constexpr std::size_t crash_record_overhead = 30;
constexpr std::size_t crashed_run_overhead = 2;

bool has_answered(const recovery_state& state, const member& peer)
{
    const auto answer = state.m_answers.find(peer.m_record.m_identity.m_name);
    return answer != state.m_answers.end() && answer->second.m_is_whole;
}

std::size_t count_whole_answers(const recovery_state& state)
{
    return static_cast<std::size_t>(
        std::count_if(state.m_answers.begin(), state.m_answers.end(),
                      [](const auto& each) { return each.second.m_is_whole; }));
}

/// Whether `peer` has an upstream of a service that this host has one of. Requests that crash
/// upstreams are known to the hosts of the service first.
bool has_common_service(const host_state& self, const reducer_context& context, const member& peer)
{
    const auto& own = self.m_membership.m_own_record.m_upstreams;
    const auto& upstreams = peer.m_record.m_upstreams;
    return std::any_of(upstreams.begin(), upstreams.end(), [&](const upstream_summary& theirs) {
        return theirs.m_service == context.m_settings.m_service ||
               std::any_of(own.begin(), own.end(), [&theirs](const upstream_summary& ours) {
                   return ours.m_service == theirs.m_service;
               });
    });
}

/// Returns the groups of usable peers that keep state for this host: those to which it sends its
/// reports, and those with a common service.
std::array<membership::peer_list, 2> peer_groups(const host_state& self,
                                                 const reducer_context& context)
{
    std::array<membership::peer_list, 2> groups;
    for (const auto* const peer : membership::live_peers(self.m_membership)) {
        if (!membership::is_usable(*peer)) {
            continue;
        }
        if (membership::is_record_receiver(self.m_membership, *peer)) {
            groups[0].push_back(peer);
        }
        if (has_common_service(self, context, *peer)) {
            groups[1].push_back(peer);
        }
    }
    return groups;
}

void request_from_peers(host_state& self, reducer_context& context)
{
    std::set<const member*> asked;
    for (auto& peers : peer_groups(self, context)) {
        std::erase_if(peers, [&](const member* peer) {
            return has_answered(self.m_recovery, *peer) || asked.contains(peer);
        });
        for (auto left = answers_needed; left > 0 && !peers.empty(); --left) {
            const auto pick = context.m_random(static_cast<std::uint32_t>(peers.size()));
            emit(context, send_datagram{peers[pick]->m_record.m_address,
                                        recovery_request{context.m_settings.m_address}});
            asked.insert(peers[pick]);
            peers.erase(peers.begin() + pick);
        }
    }
}

/// Whether enough peers of each group have answered. Until this process knows its peers, the
/// registered hosts tell how many there are.
bool has_enough_answers(const host_state& self, const reducer_context& context)
{
    const auto registered = self.m_membership.m_registration.m_registered.size();
    const auto live = membership::count_live_peers(self.m_membership);
    if (count_whole_answers(self.m_recovery) <
        std::min(answers_needed, std::max(live, registered))) {
        return false;
    }
    const auto groups = peer_groups(self, context);
    return std::all_of(groups.begin(), groups.end(), [&](const membership::peer_list& peers) {
        const auto answered = std::count_if(peers.begin(), peers.end(), [&](const member* peer) {
            return has_answered(self.m_recovery, *peer);
        });
        return static_cast<std::size_t>(answered) >= std::min(answers_needed, peers.size());
    });
}

std::size_t size_in_bytes(const departure_entry& entry)
{
    return departure_overhead + entry.m_upstream.m_host.size() + entry.m_upstream.m_endpoint.size();
}

std::size_t size_in_bytes(const crash_record& record)
{
    auto size = crash_record_overhead;
    for (const auto& crashed_run : record.m_crashed_runs) {
        size += crashed_run_overhead + crashed_run.size();
    }
    return size;
}

/// Adds `entries` to the parts of an answer, beginning a new part whenever the last one is full.
/// `list` is the member of a part that holds such entries.
template <typename Entry>
void add_entries(std::vector<recovery_response>& parts, std::vector<Entry> recovery_response::*list,
                 std::span<const Entry> entries)
{
    std::size_t size = 0;
    for (const auto& entry : entries) {
        size += size_in_bytes(entry);
        if (parts.empty() || size > part_size || (parts.back().*list).empty()) {
            parts.emplace_back();
            size = size_in_bytes(entry);
        }
        (parts.back().*list).push_back(entry);
    }
}

void complete(recovery_state& state, reducer_context& context)
{
    state.m_is_complete = true;
    emit(context, record_event{"recovery-ended",
                               {{"answers", std::to_string(count_whole_answers(state))}},
                               record_target::timeline_and_log});
}

} // namespace

void start(recovery_state& state, const reducer_context& context)
{
    state.m_started_at = context.m_now;
    state.m_next_request = context.m_now;
    state.m_request_interval = first_request_interval;
}

void on_timer(host_state& self, reducer_context& context)
{
    auto& state = self.m_recovery;
    if (state.m_is_complete || context.m_now < state.m_next_request) {
        return;
    }
    if (context.m_now - state.m_started_at >= recovery_limit) {
        complete(state, context);
        return;
    }
    state.m_next_request = context.m_now + state.m_request_interval;
    if (membership::count_live_peers(self.m_membership) > 0) {
        request_from_peers(self, context);
        state.m_request_interval =
            std::min<duration>(2 * state.m_request_interval, max_request_interval);
    }
}

void on_request(const host_state& self, reducer_context& context, const recovery_request& request)
{
    std::vector<recovery_response> parts;
    const auto departures = membership::list_departures(self.m_membership, context);
    add_entries<departure_entry>(parts, &recovery_response::m_departures, departures);
    const auto records = quarantine::list_records(self.m_gate.m_quarantine, context.m_now);
    add_entries<crash_record>(parts, &recovery_response::m_crash_records, records);
    if (parts.empty()) {
        parts.emplace_back(); // It tells that there is nothing to recover.
    }
    for (std::size_t index = 0; index < parts.size(); ++index) {
        parts[index].m_part = static_cast<std::uint16_t>(index);
        parts[index].m_parts = static_cast<std::uint16_t>(parts.size());
        parts[index].m_is_complete = self.m_recovery.m_is_complete;
        emit(context, send_datagram{request.m_address, std::move(parts[index])});
    }
}

void on_response(host_state& self, reducer_context& context, const host_identity& sender,
                 const recovery_response& response)
{
    gate::on_departures_reported(self, context, response.m_departures);
    for (const auto& record : response.m_crash_records) {
        quarantine::merge_record(self.m_gate.m_quarantine, record, context.m_now);
    }
    auto& state = self.m_recovery;
    if (state.m_is_complete || !response.m_is_complete) {
        return;
    }
    auto& answer = state.m_answers[sender.m_name];
    answer.m_parts.insert(response.m_part);
    answer.m_is_whole = answer.m_is_whole || answer.m_parts.size() >= response.m_parts;
    if (has_enough_answers(self, context)) {
        complete(state, context);
    }
}

instant next_wakeup(const recovery_state& state)
{
    return state.m_is_complete ? instant::max() : state.m_next_request;
}

} // namespace chivevane::recovery
