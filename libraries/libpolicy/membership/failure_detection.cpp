#include "libpolicy/membership/failure_detection.h"

#include "libpolicy/membership/gossip_view.h"
#include "libpolicy/membership/timing.h"

#include <algorithm>

namespace chivevane::membership {

namespace {

std::string_view to_string(member_status status)
{
    switch (status) {
    case member_status::alive:
        return "alive";
    case member_status::suspect:
        return "suspect";
    case member_status::leaving:
        return "leaving";
    case member_status::dead:
        return "dead";
    }
    return "unknown";
}

/// Returns the status that follows from the age of the member's latest known round, from whether
/// the round is confirmed and from whether the member announced that it leaves.
member_status status_at(const member& peer, const reducer_context& context,
                        std::uint32_t rounds_per_view)
{
    // The timeouts are given for rounds of `round_interval` and for gossip that lists all members
    // in each round, so the age is scaled to these.
    const auto since = context.m_now - peer.m_last_round_at;
    const auto age = from_seconds(to_seconds(since) * to_seconds(round_interval) /
                                  to_seconds(context.m_settings.m_gossip.m_round_interval)) /
                     rounds_per_view;
    if (age > death_timeout) {
        return member_status::dead;
    }
    if (peer.m_record.m_status == member_status::leaving) {
        return member_status::leaving;
    }
    return age > suspect_timeout || !peer.m_is_confirmed ? member_status::suspect
                                                         : member_status::alive;
}

} // namespace

void record_status(reducer_context& context, const member& peer, std::string_view status)
{
    emit(context,
         record_event{"member-status",
                      {{"host", peer.m_record.m_identity.m_name},
                       {"incarnation", std::to_string(peer.m_record.m_identity.m_incarnation)},
                       {"status", std::string{status}}},
                      record_target::timeline_and_log});
}

void update_status(const membership_state& state, reducer_context& context, member& peer)
{
    const auto status = status_at(peer, context, rounds_per_view(state, peer));
    if (status == peer.m_status) {
        return;
    }
    const bool is_transient =
        status == member_status::suspect || peer.m_status == member_status::suspect;
    if (!is_transient || status == member_status::dead) {
        record_status(context, peer, to_string(status));
    }
    peer.m_status = status;
}

void merge_round(const membership_state& state, reducer_context& context, member& peer,
                 std::uint32_t round, std::uint32_t documents_digest_low, duration age)
{
    if (round <= peer.m_round) {
        return;
    }
    peer.m_round = round;
    peer.m_documents_digest_low = documents_digest_low;
    peer.m_last_round_at = std::max(peer.m_last_round_at, context.m_now - age);
    peer.m_is_confirmed = true;
    update_status(state, context, peer);
}

} // namespace chivevane::membership
