#include "libpolicy/membership/own_record.h"

#include "libpolicy/membership/host_records.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>
#include <utility>

namespace chivevane::membership {

namespace {

/// Shortest time between two pushes for changes of load alone, before the time for each member is
/// added.
constexpr duration load_push_interval = 3s;

/// Time added to `load_push_interval` for each member, so that the bytes that a host sends for
/// changes of load do not grow with the fleet.
constexpr duration load_push_per_member = 90ms;

/// Number of rounds in which an urgent change is pushed again, so that the loss of a single
/// datagram does not delay it until the receiver requests the record.
constexpr std::uint32_t urgent_repeats = 2;

/// Whether two summaries differ in load at most.
bool is_same_except_load(const upstream_summary& left, const upstream_summary& right)
{
    return left.m_endpoint == right.m_endpoint && left.m_service == right.m_service &&
           left.m_slots == right.m_slots && left.m_warm_up_state == right.m_warm_up_state &&
           left.m_phase == right.m_phase;
}

} // namespace

void update_own_record(membership_state& state)
{
    ++state.m_own_record.m_version;
    state.m_pushes_left = state.m_has_urgent_change ? urgent_repeats : 0;
    state.m_has_urgent_change = false;
    state.m_has_load_change = false;
    auto& self = state.m_members.at(state.m_own_record.m_identity.m_name);
    self.m_record = state.m_own_record;
    self.m_status = state.m_own_record.m_status;
}

void push_changes(membership_state& state, reducer_context& context)
{
    // With probing placement, an ingress asks the gates for free capacity and no host uses the load
    // in host records.
    const bool is_load_used = context.m_settings.m_placement == placement_mode::weighted;
    state.m_has_load_change = state.m_has_load_change && is_load_used;
    const bool is_load_due =
        is_load_used && state.m_has_load_change && context.m_now >= state.m_next_load_push;
    if (!state.m_has_urgent_change && !is_load_due) {
        return;
    }
    update_own_record(state);
    push_own_record(state, context);
    const auto members = static_cast<std::int64_t>(state.m_members.size());
    state.m_next_load_push = context.m_now + load_push_interval + load_push_per_member * members;
}

void push_again(membership_state& state, reducer_context& context)
{
    if (state.m_pushes_left > 0) {
        --state.m_pushes_left;
        push_own_record(state, context);
    }
}

void set_own_upstreams(membership_state& state, std::vector<upstream_summary> upstreams)
{
    auto& own = state.m_own_record.m_upstreams;
    if (upstreams == own) {
        return;
    }
    const bool is_load_only =
        std::equal(upstreams.begin(), upstreams.end(), own.begin(), own.end(), is_same_except_load);
    state.m_has_load_change = true;
    state.m_has_urgent_change = state.m_has_urgent_change || !is_load_only;
    own = std::move(upstreams);
    state.m_members[state.m_own_record.m_identity.m_name].m_record.m_upstreams = own;
}

void set_documents_digest(membership_state& state, std::uint64_t digest)
{
    state.m_own_record.m_documents_digest = digest;
}

} // namespace chivevane::membership
