#include "libpolicy/gate/crash_reports.h"

#include "libpolicy/host_state.h"
#include "libpolicy/membership/host_records.h"

#include <algorithm>
#include <fmt/format.h>

namespace chivevane::gate {

namespace {

/// Time between two sends of a report. It is shorter than the time until a caller's next request,
/// so that the other hosts know of the crashed run by then.
constexpr duration send_interval = 5ms;
constexpr std::size_t max_pending_reports = 1024;

bool has_service(const member& peer, std::string_view service)
{
    const auto& upstreams = peer.m_record.m_upstreams;
    return std::any_of(upstreams.begin(), upstreams.end(),
                       [service](const auto& summary) { return summary.m_service == service; });
}

bool is_receiver(const host_state& self, const pending_crash_report& pending, const member& peer)
{
    return has_service(peer, pending.m_service) ||
           (pending.m_receivers == crash_report_receivers::peers &&
            peer.m_status != member_status::dead &&
            membership::is_record_receiver(self.m_membership, peer));
}

void send_report(const host_state& self, reducer_context& context,
                 const pending_crash_report& pending)
{
    for (const auto& [name, peer] : self.m_membership.m_members) {
        if (name != context.m_settings.m_self.m_name && is_receiver(self, pending, peer)) {
            emit(context, send_datagram{peer.m_record.m_address, pending.m_report});
        }
    }
}

void queue_report(host_state& self, reducer_context& context, const crash_report& report,
                  const std::string& service, crash_report_receivers receivers)
{
    auto& pending_reports = self.m_gate.m_pending_crash_reports;
    if (pending_reports.size() >= max_pending_reports) {
        pending_reports.pop_front();
    }
    pending_reports.push_back({report, service, receivers,
                               context.m_settings.m_gossip.m_crash_report_sends, context.m_now});
    send_reports(self, context);
}

/// Reports all crashed runs of a request that is quarantined, since hosts without upstreams of its
/// service may know none of them.
void queue_quarantine(host_state& self, reducer_context& context, std::uint64_t fingerprint,
                      const std::string& service)
{
    for (const auto crashed_runs =
             self.m_gate.m_quarantine.m_suspects.at(fingerprint).m_crashed_runs;
         const auto& crashed_run : crashed_runs) {
        queue_report(self, context, {fingerprint, crashed_run, crash_evidence::added}, service,
                     crash_report_receivers::peers);
    }
}

} // namespace

std::string report_broken_connection(host_state& self, reducer_context& context,
                                     const gate_attempt& attempt)
{
    const auto& metadata = attempt.m_metadata;
    auto crashed_run = fmt::format("{}/{}/{}", context.m_settings.m_self.m_name,
                                   metadata.m_endpoint, attempt.m_upstream_run);
    if (quarantine::add_crashed_run(self.m_gate.m_quarantine, metadata.m_fingerprint, crashed_run,
                                    context.m_now)) {
        emit(context, record_event{"upstream-broke-off",
                                   {{"attempt", to_string(metadata.m_attempt)},
                                    {"strike", crashed_run},
                                    {"fingerprint", std::to_string(metadata.m_fingerprint)}},
                                   record_target::timeline_and_log});
        if (quarantine::was_quarantined(self.m_gate.m_quarantine, metadata.m_fingerprint)) {
            queue_quarantine(self, context, metadata.m_fingerprint, metadata.m_service);
        }
        else {
            queue_report(self, context,
                         {metadata.m_fingerprint, crashed_run, crash_evidence::added},
                         metadata.m_service, crash_report_receivers::service);
        }
    }
    return crashed_run;
}

void report_survival(host_state& self, reducer_context& context, const gate_attempt& attempt)
{
    const auto& metadata = attempt.m_metadata;
    const auto found = self.m_gate.m_quarantine.m_suspects.find(metadata.m_fingerprint);
    if (found == self.m_gate.m_quarantine.m_suspects.end() ||
        found->second.m_running_attempt != metadata.m_attempt) {
        return;
    }
    const auto receivers =
        quarantine::was_quarantined(self.m_gate.m_quarantine, metadata.m_fingerprint)
            ? crash_report_receivers::peers
            : crash_report_receivers::service;
    for (const auto crashed_runs = found->second.m_crashed_runs;
         const auto& crashed_run : crashed_runs) {
        quarantine::withdraw_crashed_run(self.m_gate.m_quarantine, metadata.m_fingerprint,
                                         crashed_run);
        queue_report(self, context,
                     {metadata.m_fingerprint, crashed_run, crash_evidence::withdrawn},
                     metadata.m_service, receivers);
    }
}

void send_reports(host_state& self, reducer_context& context)
{
    auto& pending_reports = self.m_gate.m_pending_crash_reports;
    for (auto& pending : pending_reports) {
        if (pending.m_next_send <= context.m_now) {
            send_report(self, context, pending);
            pending.m_next_send = context.m_now + send_interval;
            --pending.m_sends_left;
        }
    }
    std::erase_if(pending_reports,
                  [](const pending_crash_report& each) { return each.m_sends_left == 0; });
}

} // namespace chivevane::gate
