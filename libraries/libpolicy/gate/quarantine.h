#pragma once

#include "libbase/instant.h"
#include "libpolicy/membership/membership_state.h"
#include "libwire/attempt_id.h"
#include "libwire/recovery_messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

/// Requests with one fingerprint that were in flight when the connection to an upstream broke.
struct suspected_request {
    std::vector<std::string> m_crashed_runs; ///< Latest runs that broke off, as host/endpoint/run.
    std::uint32_t m_quarantines = 0;         ///< How often the request was quarantined.
    instant m_quarantined_at;                ///< When the latest quarantine began.
    instant m_quarantined_until;             ///< All attempts are refused until then.
    instant m_expires_at;                    ///< The request is forgotten then.
    std::optional<attempt_id> m_running_attempt; ///< The only attempt that runs on this host.
    std::deque<attempt_id> m_held_attempts;      ///< Attempts that wait until it has ended.
};

/// Requests that this host suspects or refuses.
struct quarantine_state {
    std::map<std::uint64_t, suspected_request> m_suspects; ///< By fingerprint.
};

} // namespace chivevane

/// Detects requests that crash the upstreams that run them. Each upstream run whose connection
/// breaks during a request counts as a crashed run for the fingerprint of that request.
namespace chivevane::quarantine {

/// How long a request with one crashed run stays suspected.
constexpr duration crashed_run_lifetime = 60s;

/// Length of the first quarantine of a request. After a quarantine the request is suspected, so
/// that it runs alone once; if that run crashes too, the next quarantine is several times as long.
constexpr duration first_quarantine = 60s;
constexpr std::uint32_t quarantine_growth = 8;

/// How long a request stays suspected after a quarantine.
constexpr duration suspicion_after_quarantine = 1h;

/// Number of crashed runs from which on a request is quarantined.
constexpr std::size_t crashed_runs_to_quarantine = 2;

/// Number of fingerprints that a host remembers. At the limit the one with the weakest evidence is
/// evicted, of the organisation that has the most of them: one organisation cannot make a host
/// forget the requests of others.
constexpr std::size_t max_suspects = 1024;

/// Number of attempts that may wait while another with the same fingerprint runs.
constexpr std::size_t max_held_attempts = 64;

enum class status : std::uint8_t {
    clear,
    suspected,   ///< Attempts run one at a time, only at the gate of the owner; see `owner_of`.
    quarantined, ///< All attempts are refused.
};

/// Returns the fingerprint of a request of `organisation` whose other parts hash to `request_hash`.
/// Its upper bits depend on the organisation alone.
std::uint64_t make_fingerprint(std::string_view organisation, std::uint64_t request_hash);

/// Adds a crashed run. Returns false if it is known already, as the same crashed run counts once.
bool add_crashed_run(quarantine_state& state, std::uint64_t fingerprint,
                     std::string_view crashed_run, instant now);

void withdraw_crashed_run(quarantine_state& state, std::uint64_t fingerprint,
                          std::string_view crashed_run);

status request_status_of(const quarantine_state& state, std::uint64_t fingerprint, instant now);

/// Whether the request is quarantined, or was so before and is still suspected.
bool was_quarantined(const quarantine_state& state, std::uint64_t fingerprint);

/// All suspects of this host, as they are sent to a process that recovers.
std::vector<crash_record> list_records(const quarantine_state& state, instant now);

/// Merges a suspect that a peer remembers.
void merge_record(quarantine_state& state, const crash_record& record, instant now);

/// Removes the fingerprints whose crashed runs have expired, unless an attempt runs.
void expire(quarantine_state& state, instant now);

/// The only host whose gate may run a suspected request. All hosts that see the same members and
/// crashed runs choose the same one. It is a host without a crashed run if one serves `service`.
/// Empty if no host does.
std::string_view owner_of(const quarantine_state& state, const membership_state& members,
                          std::string_view service, std::uint64_t fingerprint);

} // namespace chivevane::quarantine
