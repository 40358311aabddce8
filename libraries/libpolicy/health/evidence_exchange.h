#pragma once

#include "libbase/instant.h"
#include "libpolicy/health/evidence_window.h"
#include "libpolicy/health/observation.h"
#include "libwire/health_messages.h"
#include "libwire/host_identity.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane::health {

/// One upstream on one route of a service.
struct evidence_key {
    upstream_id m_upstream;
    std::string m_route;

    auto operator<=>(const evidence_key&) const = default;
};

/// This host's own counters of one key.
struct own_evidence {
    upstream_evidence m_evidence;
    instant m_changed_at;
    bool m_is_unsent = false;
};

/// What this host sends.
struct evidence_outbox {
    std::uint64_t m_window = 0;
    std::map<evidence_key, own_evidence> m_evidence;
    std::uint32_t m_unsent_answers = 0;
    std::uint32_t m_unsent_failures = 0;
    std::uint32_t m_unsent_slow = 0; ///< Good answers that are slow for their route.
};

/// The counters that a sender gave last for one key.
struct received_counters {
    std::uint64_t m_window = 0;
    std::uint32_t m_since = 0;
    evidence_counters m_counters;
};

/// What this host had from one run of another host.
struct evidence_source {
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_first_window = 0; ///< Of the unbroken time in which it was heard.
    instant m_heard_at;
    std::map<evidence_key, received_counters> m_received;
};

/// What this host has from all hosts.
struct evidence_inbox {
    std::map<std::string, evidence_source, std::less<>> m_sources;
};

/// Counts an answer among this host's own evidence, unless another side of the path counts it. A
/// good answer is slow from `slow_from` on.
void observe(evidence_outbox& outbox, std::string_view self, const observation& seen,
             duration slow_from, instant now);

/// Whether the unsent evidence looks so bad that it should not wait for the next report.
bool is_urgent(const evidence_outbox& outbox);

/// Closes the window: the reports with all that changed, each within a datagram. Every few windows
/// all counters are sent, for hosts that missed them.
std::vector<health_report> take_reports(evidence_outbox& outbox, instant now);

/// New answers of one key.
struct received_evidence {
    evidence_key m_key;
    std::string m_service;
    evidence_delta m_answers;
};

/// The answers that `report` tells of for the first time.
std::vector<received_evidence> receive(evidence_inbox& inbox, const host_identity& sender,
                                       const health_report& report, instant now);

/// Forgets senders that were not heard for long.
void forget_old(evidence_inbox& inbox, instant now);

} // namespace chivevane::health
