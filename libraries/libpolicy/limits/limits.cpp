#include "libpolicy/limits/limits.h"

#include "libpolicy/limits/borrowing.h"
#include "libpolicy/limits/lending.h"
#include "libpolicy/limits/metering.h"
#include "libpolicy/limits/roster.h"
#include "libpolicy/limits/share_leases.h"

#include <algorithm>
#include <utility>

namespace chivevane::limits {

namespace {

constexpr duration sweep_interval = 10s; // Bounds the memory used for idle organisations.
constexpr std::uint32_t failures_until_store_unavailable = 2;

bool is_metered(const context& surroundings)
{
    return surroundings.m_settings.m_rate_mode == rate_mode::metered;
}

void sweep(limits_state& state, context& surroundings)
{
    if (surroundings.m_now < state.m_next_sweep) {
        return;
    }
    state.m_next_sweep = surroundings.m_now + sweep_interval;
    evict_idle_accounts(state, surroundings);
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        evict_full_buckets(usable_pool(state, surroundings, slot), surroundings.m_now);
    }
}

void observe_peer_roster_version(limits_state& state, context& surroundings,
                                 const host_identity& sender, std::uint64_t version)
{
    auto& known = state.m_authority.m_known_roster_versions[sender];
    known = std::max(known, version);
    observe_roster_version(state, surroundings, version);
}

} // namespace

void start(limits_state& state, context& surroundings)
{
    if (is_metered(surroundings)) {
        state.m_leases.m_next_round = instant::max();
        state.m_roster.m_next_call = instant::max();
        return;
    }
    state.m_leases.m_next_round = surroundings.m_now;
    state.m_next_sweep = surroundings.m_now + sweep_interval;
    start_roster(state, surroundings);
}

verdict take_token(limits_state& state, context& surroundings, const membership_state& members,
                   std::string_view organisation, const rate_limit& limit, std::uint64_t request_id)
{
    if (is_metered(surroundings)) {
        return take_metered_token(state.m_metering, surroundings, members, organisation, limit,
                                  request_id);
    }
    expire_loans(state, surroundings);
    run_lease_round(state, surroundings, members);
    return acquire_token(state, surroundings, members, organisation, limit, request_id);
}

void withdraw_ticket(limits_state& state, std::uint64_t request_id)
{
    cancel_waiting_request(state, request_id);
    cancel_metered_request(state.m_metering, request_id);
}

std::vector<deferred_decision> take_settled(limits_state& state)
{
    auto settled = std::exchange(state.m_borrowing.m_deferred_decisions, {});
    auto& metered = state.m_metering.m_deferred_decisions;
    settled.insert(settled.end(), metered.begin(), metered.end());
    metered.clear();
    return settled;
}

void on_loan_request(limits_state& state, context& surroundings, const membership_state& members,
                     const host_identity& sender, const loan_request& request)
{
    expire_loans(state, surroundings);
    answer_loan_request(state, surroundings, members, sender, request);
}

void on_loan_response(limits_state& state, context& surroundings, const membership_state& members,
                      const host_identity& sender, const loan_response& response)
{
    apply_loan_response(state, surroundings, members, sender, response);
}

void on_loan_report(limits_state& state, context& surroundings, const host_identity& sender,
                    const loan_report& report)
{
    apply_loan_report(state, surroundings, sender, report);
}

void on_share_request(limits_state& state, context& surroundings, const membership_state& members,
                      const host_identity& sender, const share_request& request)
{
    observe_peer_roster_version(state, surroundings, sender, request.m_roster_version);
    answer_share_request(state, surroundings, members, sender, request);
}

void on_share_response(limits_state& state, context& surroundings, const host_identity& sender,
                       const share_response& response)
{
    observe_peer_roster_version(state, surroundings, sender, response.m_roster_version);
    apply_share_response(state, surroundings, sender, response);
}

void on_store_response(limits_state& state, context& surroundings, std::uint64_t operation_id,
                       const store_outcome& outcome)
{
    on_roster_answer(state, surroundings, operation_id, outcome);
}

void on_timer(limits_state& state, context& surroundings, const membership_state& members)
{
    if (is_metered(surroundings)) {
        check_metered_requests(state.m_metering, surroundings, members);
        return;
    }
    expire_loans(state, surroundings);
    run_lease_round(state, surroundings, members);
    check_loans(state, surroundings, members);
    report_loans(state, surroundings, members);
    run_roster(state, surroundings, members);
    sweep(state, surroundings);
}

void leave(limits_state& state, context& surroundings)
{
    if (is_metered(surroundings)) {
        state.m_roster.m_phase = roster_phase::left;
        return;
    }
    leave_roster(state, surroundings);
}

bool has_left(const limits_state& state)
{
    const auto& roster = state.m_roster;
    return roster.m_phase == roster_phase::left ||
           roster.m_failures >= failures_until_store_unavailable;
}

void declare_dead(limits_state& state, context& surroundings, std::string_view name)
{
    declare_holder_dead(state, surroundings, name);
}

instant next_wakeup(const limits_state& state)
{
    const auto& borrowing = state.m_borrowing;
    const auto& expiries = state.m_lending.m_expiries;
    const auto loan_end = expiries.empty() ? instant::max() : expiries.front().m_at;
    const auto roster_call = state.m_roster.m_call ? instant::max() : state.m_roster.m_next_call;
    return std::min({next_metered_check(state.m_metering), state.m_leases.m_next_round,
                     borrowing.m_next_check, borrowing.m_next_report, loan_end, roster_call});
}

} // namespace chivevane::limits
