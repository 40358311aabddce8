#pragma once

#include "libbase/instant.h"
#include "libpolicy/admission/admission_state.h"
#include "libwire/upstream_summary.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace chivevane::admission {

/// Decision on an attempt that reached the gate.
enum class decision : std::uint8_t { started, queued, refused };

/// How an admitted attempt ended, as far as it shows what load the upstream tolerates.
enum class run_result : std::uint8_t {
    good,
    failed,
    load_refused, ///< The upstream refused it because of its load (429 or 503).
    cancelled,    ///< It ended before an answer began, so the concurrency limit does not use it.
};

/// Whether an announcement comes from a new run of the upstream.
enum class announced_run : std::uint8_t { new_run, known_run };

/// Adds an upstream or applies its new announcement. One that is new, has restarted, or has become
/// cold or warm begins with the concurrency limit that its announced state allows.
void set_upstream(admission_state& state, std::string_view endpoint, std::uint32_t slots,
                  warm_up_state announced, announced_run run, instant now);

/// Sets the start rates that the upstream tolerates while it is cold.
void set_cold_bounds(admission_state& state, std::string_view endpoint, const cold_bounds& bounds);

/// Sets the starts per second that the upstream accepts, or removes the limit.
void set_accepted_rate(admission_state& state, std::string_view endpoint,
                       std::optional<double> rate, instant now);

/// Whether so many attempts have started since the upstream was last confirmed warm that its
/// warm-up state needs confirmation again. Without one it gets no more starts than a cold upstream
/// tolerates, as it may have become cold unnoticed.
bool needs_confirmation(admission_state& state, std::string_view endpoint, instant now);

/// Records that the upstream was warm at some moment not before `since`, so that starts up to
/// `since` no longer count.
void confirm_warm(admission_state& state, std::string_view endpoint, instant since);

/// Records that the upstream is cold until it is announced as warm again.
void mark_cold(admission_state& state, std::string_view endpoint);

/// Starts no attempt before `until` on an upstream with a configured start rate, since the previous
/// process of the host may have started some.
void block_starts(admission_state& state, std::string_view endpoint, instant until);

/// Removes an upstream. Returns the attempts that were queued for it.
std::vector<queued_attempt> remove_upstream(admission_state& state, std::string_view endpoint);

/// Removes and returns all attempts that are queued for an upstream.
std::vector<queued_attempt> take_waiting(admission_state& state, std::string_view endpoint);

/// Admits, queues or refuses an attempt. An admitted one counts as running until `release`.
decision offer(admission_state& state, const queued_attempt& attempt, instant now);

/// Records that an admitted attempt has ended, and frees its slot. `latency` is the time from the
/// hand-over to the head of the answer, and `expected_run` the mean latency of its route on this
/// upstream; zero if unknown.
void release(admission_state& state, std::string_view endpoint, run_result result, duration latency,
             instant now, duration expected_run = duration{});

/// Removes a queued attempt. Returns false if it is not queued.
bool remove_from_queue(admission_state& state, std::string_view endpoint,
                       const attempt_id& attempt);

/// Removes and returns the queued attempts that may start now, in fair order. They count as
/// running.
std::vector<queued_attempt> take_startable(admission_state& state, instant now);

/// Removes and returns the queued attempts that can no longer be answered by their deadline at the
/// typical latency.
std::vector<queued_attempt> take_expired(admission_state& state, instant now);

/// Removes and returns the queued attempts that are refused under `overload_policy::least_cost`:
/// those that can no longer be answered in time, and those that give way to others. Must be called
/// after each `offer` and `take_startable`.
std::vector<shed_attempt> take_shed(admission_state& state, instant now);

/// Current load of an upstream, in attempts.
struct load {
    std::uint32_t m_concurrency = 0; ///< How many the gate admits at once.
    std::uint32_t m_queued = 0;
    std::uint32_t m_running = 0;
};
load load_of(const admission_state& state, std::string_view endpoint);

/// When `take_startable`, `take_expired` or `take_shed` may next return something.
instant next_wakeup(const admission_state& state);

} // namespace chivevane::admission
