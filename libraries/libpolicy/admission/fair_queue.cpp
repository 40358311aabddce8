#include "libpolicy/admission/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iterator>
#include <utility>

namespace chivevane::admission {

namespace {

constexpr duration use_memory = 1s; // A flood stands back for about this long.
constexpr double negligible_use = 0.05;

/// Attempts without an organisation are no one's use.
double use_of(const fair_queue& queue, const queue_line& line, instant now)
{
    if (line.m_organisation.empty()) {
        return 0;
    }
    const auto found = queue.m_given.find(line);
    if (found == queue.m_given.end()) {
        return 0;
    }
    const auto age = to_seconds(now - found->second.m_faded_at) / to_seconds(use_memory);
    return found->second.m_attempts * std::exp(-age);
}

void forget_old_use(fair_queue& queue, instant now)
{
    if (now < queue.m_next_cleaning) {
        return;
    }
    queue.m_next_cleaning = now + use_memory;
    std::erase_if(queue.m_given, [&queue, now](const auto& entry) {
        return use_of(queue, entry.first, now) < negligible_use;
    });
}

/// Drops organisations that have nothing waiting and counts the rest anew.
void tidy(fair_queue& queue)
{
    std::erase_if(queue.m_waiting, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(queue.m_turns,
                  [&queue](const auto& line) { return !queue.m_waiting.contains(line); });
    queue.m_size = 0;
    queue.m_earliest_deadline = instant::max();
    for (const auto& [line, attempts] : queue.m_waiting) {
        queue.m_size += attempts.size();
        for (const auto& waiting : attempts) {
            queue.m_earliest_deadline = std::min(queue.m_earliest_deadline, waiting.m_deadline);
        }
    }
}

/// Takes the line of the first priority that was given the least, the longest waiting of equal
/// ones.
queue_line take_turn(fair_queue& queue, instant now)
{
    const auto rank = [&queue, now](const queue_line& line) {
        return std::pair{line.m_priority, use_of(queue, line, now)};
    };
    auto next = queue.m_turns.begin();
    auto least = rank(*next);
    for (auto other = std::next(next); other != queue.m_turns.end(); ++other) {
        if (const auto candidate = rank(*other); candidate < least) {
            next = other;
            least = candidate;
        }
    }
    auto line = std::move(*next);
    queue.m_turns.erase(next);
    return line;
}

} // namespace

queue_line line_of(const queued_attempt& attempt)
{
    return {attempt.m_priority, attempt.m_organisation};
}

void note_given(fair_queue& queue, const queue_line& line, instant now)
{
    const auto use = use_of(queue, line, now);
    queue.m_given[line] = {use + 1, now};
    forget_old_use(queue, now);
}

void push(fair_queue& queue, const queued_attempt& attempt)
{
    auto line = line_of(attempt);
    auto& attempts = queue.m_waiting[line];
    if (attempts.empty()) {
        queue.m_turns.push_back(std::move(line));
    }
    attempts.push_back(attempt);
    ++queue.m_size;
    queue.m_earliest_deadline = std::min(queue.m_earliest_deadline, attempt.m_deadline);
}

std::optional<queued_attempt> pop(fair_queue& queue, instant now)
{
    if (queue.m_size == 0) {
        return std::nullopt;
    }
    auto line = take_turn(queue, now);
    const auto found = queue.m_waiting.find(line);
    assert(found != queue.m_waiting.end() && !found->second.empty());
    auto attempt = std::move(found->second.front());
    found->second.pop_front();
    --queue.m_size;
    note_given(queue, line, now);
    if (found->second.empty()) {
        queue.m_waiting.erase(found);
    }
    else {
        queue.m_turns.push_back(std::move(line));
    }
    return attempt;
}

bool withdraw(fair_queue& queue, const attempt_id& attempt)
{
    for (auto& [line, attempts] : queue.m_waiting) {
        const auto found =
            std::find_if(attempts.begin(), attempts.end(),
                         [&attempt](const auto& waiting) { return waiting.m_attempt == attempt; });
        if (found != attempts.end()) {
            attempts.erase(found);
            tidy(queue);
            return true;
        }
    }
    return false;
}

std::vector<queued_attempt> take_due(fair_queue& queue, instant limit)
{
    std::vector<queued_attempt> due;
    if (queue.m_earliest_deadline > limit) {
        return due;
    }
    const auto is_alive = [limit](const queued_attempt& waiting) {
        return waiting.m_deadline > limit;
    };
    for (auto& [line, attempts] : queue.m_waiting) {
        const auto first_due = std::stable_partition(attempts.begin(), attempts.end(), is_alive);
        std::copy(first_due, attempts.end(), std::back_inserter(due));
        attempts.erase(first_due, attempts.end());
    }
    tidy(queue);
    return due;
}

std::size_t waiting_of(const fair_queue& queue, const queue_line& line)
{
    const auto found = queue.m_waiting.find(line);
    return found == queue.m_waiting.end() ? 0 : found->second.size();
}

std::size_t count_before(const fair_queue& queue, const queue_line& line, instant now)
{
    const auto own = waiting_of(queue, line);
    const auto own_use = use_of(queue, line, now) + static_cast<double>(own) + 1;
    auto before = static_cast<double>(own);
    for (const auto& [other, attempts] : queue.m_waiting) {
        const auto length = static_cast<double>(attempts.size());
        if (other.m_priority < line.m_priority) {
            before += length;
        }
        else if (other.m_priority == line.m_priority && other != line) {
            const auto ahead = std::ceil(own_use - use_of(queue, other, now));
            before += std::clamp(ahead, 0.0, length);
        }
    }
    return static_cast<std::size_t>(before);
}

} // namespace chivevane::admission
