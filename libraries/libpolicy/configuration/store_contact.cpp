#include "libpolicy/configuration/store_contact.h"

#include <algorithm>
#include <string>
#include <utility>

namespace chivevane::configuration {

namespace {

/// Consecutive failures after which a host counts as without contact. A single one may be a watch
/// that the store cut.
constexpr std::uint32_t failures_without_contact = 2;

/// Time after which an unchanged report is repeated with the next failure, as datagrams get lost.
constexpr duration report_interval = 5s;

/// Longest watch of a watcher, as a share of the propagation limit.
constexpr double watch_share = 0.5;

/// Time that the store has for an answer and this host for handling it, as a share of the
/// propagation limit. What `watch_share` and this leave is for the host that takes over.
constexpr double answer_share = 0.15;

/// Time in which a busy process reads the answers that have arrived already.
constexpr duration recheck_delay = 20ms;

duration share_of(duration whole, double share)
{
    return from_seconds(to_seconds(whole) * share);
}

void change_contact(configuration_state& state, reducer_context& context, store_contact contact)
{
    state.m_store_contact = contact;
    state.m_is_contact_report_due = true;
    const bool is_reachable = contact == store_contact::reachable;
    emit(context, record_event{"store-contact",
                               {{"contact", is_reachable ? "reachable" : "unreachable"}},
                               record_target::timeline_and_log});
}

} // namespace

void record_store_success(configuration_state& state, reducer_context& context)
{
    if (state.m_store_contact == store_contact::unreachable) {
        change_contact(state, context, store_contact::reachable);
    }
}

void record_store_failure(configuration_state& state, reducer_context& context)
{
    if (state.m_store_failures < failures_without_contact) {
        return;
    }
    if (state.m_store_contact == store_contact::reachable) {
        change_contact(state, context, store_contact::unreachable);
    }
    else if (context.m_now - state.m_contact_reported_at >= report_interval) {
        state.m_is_contact_report_due = true;
    }
}

duration watch_duration_of_watcher(const host_settings& settings)
{
    return std::min(settings.m_watch_timeout, share_of(settings.m_propagation_limit, watch_share));
}

instant answer_overdue_at(const host_settings& settings, instant now)
{
    return now + watch_duration_of_watcher(settings) +
           share_of(settings.m_propagation_limit, answer_share);
}

void check_overdue_answer(configuration_state& state, reducer_context& context)
{
    if (context.m_now < state.m_answer_overdue_at) {
        return;
    }
    if (!std::exchange(state.m_is_answer_rechecked, true)) {
        state.m_answer_overdue_at = context.m_now + recheck_delay;
        return;
    }
    state.m_answer_overdue_at = instant::max();
    const auto waited = to_milliseconds(context.m_now - state.m_store_called_at);
    emit(context, record_event{"store-answer-overdue",
                               {{"waited_ms", std::to_string(waited)}},
                               record_target::timeline_and_log});
    if (state.m_store_contact == store_contact::reachable) {
        change_contact(state, context, store_contact::unreachable);
    }
}

void send_contact_report(configuration_state& state, reducer_context& context,
                         const membership_state& members)
{
    if (!state.m_is_contact_report_due) {
        return;
    }
    state.m_is_contact_report_due = false;
    state.m_contact_reported_at = context.m_now;
    const auto& own_record = members.m_own_record;
    for (const auto& [name, peer] : members.m_members) {
        const bool is_receiver = name != own_record.m_identity.m_name &&
                                 peer.m_record.m_datacentre == own_record.m_datacentre &&
                                 peer.m_status != member_status::dead;
        if (is_receiver) {
            emit(context, send_datagram{peer.m_record.m_address,
                                        store_contact_report{state.m_store_contact}});
        }
    }
}

void on_store_contact_report(configuration_state& state, reducer_context& context,
                             const host_identity& sender, const store_contact_report& report)
{
    if (report.m_contact == store_contact::reachable) {
        state.m_hosts_without_store.erase(sender.m_name);
        return;
    }
    state.m_hosts_without_store[sender.m_name] = sender.m_incarnation;
    if (!state.m_is_store_call_pending && state.m_store_failures == 0) {
        state.m_next_store_call = context.m_now; // This host may be a watcher now.
    }
}

bool has_store_contact(const configuration_state& state, const membership_state& members,
                       const host_identity& host)
{
    if (host.m_name == members.m_own_record.m_identity.m_name) {
        return state.m_store_contact == store_contact::reachable;
    }
    const auto found = state.m_hosts_without_store.find(host.m_name);
    return found == state.m_hosts_without_store.end() || found->second != host.m_incarnation;
}

} // namespace chivevane::configuration
