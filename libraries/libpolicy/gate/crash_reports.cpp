#include "libpolicy/gate/crash_reports.h"

#include "libpolicy/node_state.h"

#include <algorithm>
#include <fmt/format.h>

namespace chivevane::gate {

namespace {

constexpr duration send_interval = 5ms; // Shorter than a caller's next request takes.
constexpr std::size_t max_announcements = 1024;

bool has_service(const member& peer, std::string_view service)
{
    const auto& upstreams = peer.m_latest.m_upstreams;
    return std::any_of(upstreams.begin(), upstreams.end(),
                       [service](const auto& summary) { return summary.m_service == service; });
}

void send_to_service(const node_state& node, context& surroundings,
                     const crash_announcement& announcement)
{
    for (const auto& [name, peer] : node.m_membership.m_members) {
        if (name != surroundings.m_settings.m_self.m_name &&
            has_service(peer, announcement.m_service)) {
            emit(surroundings, send_datagram{peer.m_latest.m_address, announcement.m_report});
        }
    }
}

void announce(node_state& node, context& surroundings, const crash_report& report,
              const std::string& service)
{
    auto& announcements = node.m_gate.m_announcements;
    if (announcements.size() >= max_announcements) {
        announcements.pop_front();
    }
    announcements.push_back({report, service, surroundings.m_settings.m_timing.m_crash_report_sends,
                             surroundings.m_now});
    send_reports(node, surroundings);
}

} // namespace

std::string report_break(node_state& node, context& surroundings, const gate_attempt& attempt)
{
    const auto& link = attempt.m_link;
    auto strike = fmt::format("{}/{}/{}", surroundings.m_settings.m_self.m_name, link.m_endpoint,
                              attempt.m_upstream_run);
    if (quarantine::add_strike(node.m_gate.m_quarantine, link.m_fingerprint, strike,
                               surroundings.m_now)) {
        emit(surroundings, record_event{"upstream-broke-off",
                                        {{"attempt", to_string(link.m_attempt)},
                                         {"strike", strike},
                                         {"fingerprint", std::to_string(link.m_fingerprint)}},
                                        record_target::timeline_and_log});
        announce(node, surroundings, {link.m_fingerprint, strike, crash_evidence::added},
                 link.m_service);
    }
    return strike;
}

void report_survival(node_state& node, context& surroundings, const gate_attempt& attempt)
{
    const auto& link = attempt.m_link;
    const auto found = node.m_gate.m_quarantine.m_suspects.find(link.m_fingerprint);
    if (found == node.m_gate.m_quarantine.m_suspects.end() ||
        found->second.m_running != link.m_attempt) {
        return;
    }
    for (const auto strikes = found->second.m_strikes; const auto& strike : strikes) {
        quarantine::withdraw_strike(node.m_gate.m_quarantine, link.m_fingerprint, strike);
        announce(node, surroundings, {link.m_fingerprint, strike, crash_evidence::withdrawn},
                 link.m_service);
    }
}

void send_reports(node_state& node, context& surroundings)
{
    auto& announcements = node.m_gate.m_announcements;
    for (auto& announcement : announcements) {
        if (announcement.m_next_send <= surroundings.m_now) {
            send_to_service(node, surroundings, announcement);
            announcement.m_next_send = surroundings.m_now + send_interval;
            --announcement.m_sends_left;
        }
    }
    std::erase_if(announcements,
                  [](const crash_announcement& each) { return each.m_sends_left == 0; });
}

} // namespace chivevane::gate
