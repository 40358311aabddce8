#pragma once

#include "libbase/instant.h"
#include "libpolicy/admission/admission_state.h"
#include "libwire/upstream_summary.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace chivevane::admission {

/// What becomes of an attempt that reached the gate.
enum class verdict : std::uint8_t { start, queued, refused };

/// How an admitted attempt went, as far as it tells what the upstream can bear.
enum class run_result : std::uint8_t {
    good,
    failed,
    load_refused, ///< The upstream refused on load (429 or 503).
    cancelled,    ///< The caller went away: tells nothing.
};

/// Adds an upstream or learns of its new announcement. An upstream that became cold, or that was
/// started anew, begins with the concurrency of a cold one.
enum class upstream_news : std::uint8_t { started_anew, announced_again };
void set_upstream(admission_state& state, std::string_view endpoint, std::uint32_t slots,
                  upstream_warmth warmth, upstream_news news, instant now);

/// Sets what the upstream bears while it is cold.
void set_cold_bounds(admission_state& state, std::string_view endpoint, const cold_bounds& bounds);

/// Whether so many attempts started since the upstream was last known to be warm that its warmth
/// should be confirmed. Without that it gets no more than a cold one bears, as it may have become
/// cold unnoticed.
bool needs_confirmation(admission_state& state, std::string_view endpoint, instant now);

/// The upstream was warm at some moment from `since` on.
void confirm_warm(admission_state& state, std::string_view endpoint, instant since);

/// The upstream is cold until it is announced as warm again.
void note_cold(admission_state& state, std::string_view endpoint);

/// Starts nothing on a cold upstream before `until`, since an earlier process may have.
void block_starts(admission_state& state, std::string_view endpoint, instant until);

/// Removes an upstream that is gone; returns the attempts that waited for it.
std::vector<queued_attempt> remove_upstream(admission_state& state, std::string_view endpoint);

/// Takes out all attempts that wait for an upstream.
std::vector<queued_attempt> take_waiting(admission_state& state, std::string_view endpoint);

/// Admits, queues or refuses an attempt. An admitted one counts as running until `finished`.
verdict offer(admission_state& state, const queued_attempt& attempt, instant now);

/// An admitted attempt has ended after `latency` from hand-over to the head of the answer.
void finished(admission_state& state, std::string_view endpoint, run_result result,
              duration latency, instant now);

/// Takes a waiting attempt out of the queue; false if it does not wait.
bool withdraw(admission_state& state, std::string_view endpoint, const attempt_id& attempt);

/// Takes out the waiting attempts that may start now, in fair order. They count as running.
std::vector<queued_attempt> take_startable(admission_state& state, instant now);

/// Takes out the waiting attempts that will not get their turn before their deadline.
std::vector<queued_attempt> take_expired(admission_state& state, instant now);

/// Concurrency and queue length for the host's account of itself.
struct load {
    std::uint32_t m_concurrency = 0;
    std::uint32_t m_queued = 0;
    std::uint32_t m_running = 0;
};
load load_of(const admission_state& state, std::string_view endpoint);

/// When `take_startable` or `take_expired` may next have something.
instant next_wakeup(const admission_state& state);

} // namespace chivevane::admission
