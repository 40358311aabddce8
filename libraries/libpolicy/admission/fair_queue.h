#pragma once

#include "libbase/instant.h"
#include "libpolicy/admission/queued_attempt.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane::admission {

/// What one organisation was given of late: attempts, old ones fading with time.
struct recent_use {
    double m_attempts = 0;
    instant m_faded_at;
};

/// Attempts that wait for one upstream. The organisation that was given the least of late is next;
/// equal ones take turns; attempts of one organisation keep their order. This is deficit round
/// robin with one attempt as cost, where debts last: what an organisation was given while the
/// upstream was idle counts for a moment, so that a flood stands back when others come.
struct fair_queue {
    std::map<std::string, std::deque<queued_attempt>, std::less<>> m_waiting; ///< By organisation.
    std::deque<std::string> m_turns; ///< Organisations with waiting attempts.
    std::map<std::string, recent_use, std::less<>> m_given; ///< By organisation.
    instant m_next_cleaning;
    std::size_t m_size = 0;
    instant m_earliest_deadline = instant::max(); ///< Or before it.
};

/// Notes that an attempt of `organisation` was started.
void note_given(fair_queue& queue, const std::string& organisation, instant now);

void push(fair_queue& queue, const queued_attempt& attempt);

/// Takes out the attempt whose turn it is; it counts as given.
std::optional<queued_attempt> pop(fair_queue& queue, instant now);

bool withdraw(fair_queue& queue, const attempt_id& attempt);

/// Takes out all attempts whose deadline is not after `limit`.
std::vector<queued_attempt> take_due(fair_queue& queue, instant limit);

/// How many attempts `organisation` has waiting.
std::size_t waiting_of(const fair_queue& queue, std::string_view organisation);

/// How many attempts get their turn before a new one of `organisation`.
std::size_t count_before(const fair_queue& queue, std::string_view organisation, instant now);

} // namespace chivevane::admission
