#include "libpolicy/recovery/recovery.h"

#include "libpolicy/gate/upstream_departures.h"
#include "libpolicy/host_state.h"
#include "libpolicy/membership/departures.h"
#include "libpolicy/membership/membership.h"
#include "libpolicy/membership/peers.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace chivevane::recovery {

namespace {

/// Number of recovered peers whose answers complete the recovery. More than one, as the report of a
/// change to a single peer may have been lost.
constexpr std::size_t answers_needed = 3;

/// Time after the start of a process after which its recovery ends in any case.
constexpr duration recovery_limit = 5s;

constexpr duration first_request_interval = 200ms; ///< Doubles with each request.
constexpr duration max_request_interval = 1s;

/// Number of entries in one part of an answer, so that it fits into a datagram.
constexpr std::size_t entries_per_part = 10;

std::size_t count_whole_answers(const recovery_state& state)
{
    return static_cast<std::size_t>(
        std::count_if(state.m_answers.begin(), state.m_answers.end(),
                      [](const auto& each) { return each.second.m_is_whole; }));
}

/// Returns how many peers have to answer. Until this process knows its peers, the registered hosts
/// tell how many there are.
std::size_t count_needed_answers(const membership_state& members)
{
    return std::min(answers_needed, std::max(membership::count_live_peers(members),
                                             members.m_registration.m_registered.size()));
}

/// Returns the usable peers that have not answered as a whole. In a large fleet those of the own
/// data centre come first, as a host sends its reports only there.
membership::peer_list unanswered_peers(const host_state& self)
{
    const auto& members = self.m_membership;
    const auto live = membership::live_peers(members);
    const auto local = membership::local_peers(members, live);
    auto peers = membership::is_large_fleet(members) && !local.empty() ? local : live;
    std::erase_if(peers, [&](const member* peer) {
        const auto answer = self.m_recovery.m_answers.find(peer->m_record.m_identity.m_name);
        const bool has_answered =
            answer != self.m_recovery.m_answers.end() && answer->second.m_is_whole;
        return has_answered || !membership::is_usable(*peer);
    });
    return peers;
}

void request_from_peers(host_state& self, reducer_context& context)
{
    auto peers = unanswered_peers(self);
    for (auto left = answers_needed; left > 0 && !peers.empty(); --left) {
        const auto pick = context.m_random(static_cast<std::uint32_t>(peers.size()));
        emit(context, send_datagram{peers[pick]->m_record.m_address,
                                    recovery_request{context.m_settings.m_address}});
        peers.erase(peers.begin() + pick);
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
    const auto departures = membership::list_departures(self.m_membership, context);
    const auto parts =
        std::max<std::size_t>(1, (departures.size() + entries_per_part - 1) / entries_per_part);
    for (std::size_t part = 0; part < parts; ++part) {
        recovery_response response{static_cast<std::uint16_t>(part),
                                   static_cast<std::uint16_t>(parts),
                                   self.m_recovery.m_is_complete};
        const auto first = part * entries_per_part;
        const auto last = std::min(departures.size(), first + entries_per_part);
        response.m_departures.assign(departures.begin() + static_cast<std::ptrdiff_t>(first),
                                     departures.begin() + static_cast<std::ptrdiff_t>(last));
        emit(context, send_datagram{request.m_address, std::move(response)});
    }
}

void on_response(host_state& self, reducer_context& context, const host_identity& sender,
                 const recovery_response& response)
{
    gate::on_departures_reported(self, context, response.m_departures);
    auto& state = self.m_recovery;
    if (state.m_is_complete || !response.m_is_complete) {
        return;
    }
    auto& answer = state.m_answers[sender.m_name];
    answer.m_parts.insert(response.m_part);
    answer.m_is_whole = answer.m_is_whole || answer.m_parts.size() >= response.m_parts;
    if (count_whole_answers(state) >= count_needed_answers(self.m_membership)) {
        complete(state, context);
    }
}

instant next_wakeup(const recovery_state& state)
{
    return state.m_is_complete ? instant::max() : state.m_next_request;
}

} // namespace chivevane::recovery
