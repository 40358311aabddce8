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

/// The counters that this host keeps for one key.
struct own_evidence {
    upstream_evidence m_evidence;
    instant m_changed_at;
    bool m_is_unsent = false; ///< The counters changed since the last report.
};

/// Evidence that this host collects and sends to the other hosts.
struct evidence_outbox {
    std::uint64_t m_window = 0; ///< Number of the last closed window; 0 at first.
    std::map<evidence_key, own_evidence> m_evidence;
    std::uint32_t m_unsent_answers = 0; ///< Includes failures and slow answers.
    std::uint32_t m_unsent_failures = 0;
    std::uint32_t m_unsent_slow = 0; ///< Good answers that reached their route's slow threshold.
};

/// The latest counters received from one sender for one key.
struct received_counters {
    std::uint64_t m_window = 0; ///< The sender's window of the report; 0 before any report.
    std::uint32_t m_since = 0;  ///< The sender's window in which the counters began at zero.
    evidence_counters m_counters;
};

/// Evidence received from one incarnation of one host.
struct evidence_source {
    std::uint64_t m_incarnation = 0;
    /// The sender's first window since reception was last interrupted.
    std::uint64_t m_first_continuous_window = 0;
    instant m_last_received_at;
    std::map<evidence_key, received_counters> m_received;
};

/// Evidence received from all hosts, this host included.
struct evidence_inbox {
    std::map<std::string, evidence_source, std::less<>> m_sources; ///< Keyed by host name.
};

/// Adds an answer to this host's evidence, unless the other end of the path counts it. A good
/// answer is slow if it took `slow_threshold` or longer.
void record_observation(evidence_outbox& outbox, std::string_view self, const observation& seen,
                        duration slow_threshold, instant now);

/// Whether the unsent evidence holds so many bad answers that it must be sent before the next
/// regular report.
bool is_urgent(const evidence_outbox& outbox);

/// Closes the window and returns the reports with the counters that changed; each report fits in
/// one datagram. Every few windows the reports hold all counters, for hosts that missed earlier
/// ones.
std::vector<health_report> build_reports(evidence_outbox& outbox, instant now);

/// Answers of one key that had not been received before.
struct received_evidence {
    evidence_key m_key;
    std::string m_service;
    evidence_delta m_answers;
};

/// Records the counters in `report` and returns the answers that they add to earlier reports.
std::vector<received_evidence> receive(evidence_inbox& inbox, const host_identity& sender,
                                       const health_report& report, instant now);

/// Erases senders from which no report has come for a long time.
void erase_expired(evidence_inbox& inbox, instant now);

} // namespace chivevane::health
