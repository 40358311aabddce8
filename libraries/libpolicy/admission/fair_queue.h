#pragma once

#include "libbase/instant.h"
#include "libpolicy/admission/queued_attempt.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivevane::admission {

/// What one organisation was given of late: attempts, old ones fading with time.
struct recent_use {
    double m_attempts = 0;
    instant m_faded_at;
};

/// The attempts of one organisation that have the same priority, or all without an organisation.
struct queue_line {
    std::uint32_t m_priority = 0;
    std::string m_organisation;

    auto operator<=>(const queue_line&) const = default;
};

/// The line of an attempt.
queue_line line_of(const queued_attempt& attempt);

/// Attempts that wait for one upstream. Lines of the first priority that waits go first; of these
/// the one that was given the least of late is next; equal ones take turns; attempts of one line
/// keep their order. This is deficit round robin with one attempt as cost, where debts last: what
/// an organisation was given while the upstream was idle counts for a moment, so that a flood
/// stands back when others come.
struct fair_queue {
    std::map<queue_line, std::deque<queued_attempt>> m_waiting;
    std::deque<queue_line> m_turns; ///< Lines with waiting attempts.
    std::map<queue_line, recent_use> m_given;
    instant m_next_cleaning;
    std::size_t m_size = 0;
    instant m_earliest_deadline = instant::max(); ///< Or before it.
};

/// Notes that an attempt of `line` was started.
void note_given(fair_queue& queue, const queue_line& line, instant now);

void push(fair_queue& queue, const queued_attempt& attempt);

/// Takes out the attempt whose turn it is; it counts as given.
std::optional<queued_attempt> pop(fair_queue& queue, instant now);

bool withdraw(fair_queue& queue, const attempt_id& attempt);

/// Takes out all attempts whose deadline is not after `limit`.
std::vector<queued_attempt> take_due(fair_queue& queue, instant limit);

/// How many attempts `line` has waiting.
std::size_t waiting_of(const fair_queue& queue, const queue_line& line);

/// How many attempts get their turn before a new one of `line`.
std::size_t count_before(const fair_queue& queue, const queue_line& line, instant now);

} // namespace chivevane::admission
