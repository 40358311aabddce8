#include "libpolicy/admission/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iterator>

namespace chivevane::admission {

namespace {

constexpr duration use_memory = 1s; // A flood stands back for about this long.
constexpr double negligible_use = 0.05;

double use_of(const fair_queue& queue, std::string_view organisation, instant now)
{
    const auto found = queue.m_given.find(organisation);
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
                  [&queue](const auto& name) { return !queue.m_waiting.contains(name); });
    queue.m_size = 0;
    queue.m_earliest_deadline = instant::max();
    for (const auto& [organisation, line] : queue.m_waiting) {
        queue.m_size += line.size();
        for (const auto& waiting : line) {
            queue.m_earliest_deadline = std::min(queue.m_earliest_deadline, waiting.m_deadline);
        }
    }
}

/// Takes the organisation that was given the least, the longest waiting of equal ones.
std::string take_turn(fair_queue& queue, instant now)
{
    auto next = queue.m_turns.begin();
    auto least = use_of(queue, *next, now);
    for (auto other = std::next(next); other != queue.m_turns.end(); ++other) {
        if (const auto use = use_of(queue, *other, now); use < least) {
            next = other;
            least = use;
        }
    }
    auto organisation = std::move(*next);
    queue.m_turns.erase(next);
    return organisation;
}

} // namespace

void note_given(fair_queue& queue, const std::string& organisation, instant now)
{
    const auto use = use_of(queue, organisation, now);
    queue.m_given[organisation] = {use + 1, now};
    forget_old_use(queue, now);
}

void push(fair_queue& queue, const queued_attempt& attempt)
{
    auto& line = queue.m_waiting[attempt.m_organisation];
    if (line.empty()) {
        queue.m_turns.push_back(attempt.m_organisation);
    }
    line.push_back(attempt);
    ++queue.m_size;
    queue.m_earliest_deadline = std::min(queue.m_earliest_deadline, attempt.m_deadline);
}

std::optional<queued_attempt> pop(fair_queue& queue, instant now)
{
    if (queue.m_size == 0) {
        return std::nullopt;
    }
    auto organisation = take_turn(queue, now);
    const auto found = queue.m_waiting.find(organisation);
    assert(found != queue.m_waiting.end() && !found->second.empty());
    auto attempt = std::move(found->second.front());
    found->second.pop_front();
    --queue.m_size;
    note_given(queue, organisation, now);
    if (found->second.empty()) {
        queue.m_waiting.erase(found);
    }
    else {
        queue.m_turns.push_back(std::move(organisation));
    }
    return attempt;
}

bool withdraw(fair_queue& queue, const attempt_id& attempt)
{
    for (auto& [organisation, line] : queue.m_waiting) {
        const auto found =
            std::find_if(line.begin(), line.end(), [&attempt](const queued_attempt& waiting) {
                return waiting.m_attempt == attempt;
            });
        if (found != line.end()) {
            line.erase(found);
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
    for (auto& [organisation, line] : queue.m_waiting) {
        const auto first_due = std::stable_partition(line.begin(), line.end(), is_alive);
        std::copy(first_due, line.end(), std::back_inserter(due));
        line.erase(first_due, line.end());
    }
    tidy(queue);
    return due;
}

std::size_t waiting_of(const fair_queue& queue, std::string_view organisation)
{
    const auto found = queue.m_waiting.find(organisation);
    return found == queue.m_waiting.end() ? 0 : found->second.size();
}

std::size_t count_before(const fair_queue& queue, std::string_view organisation, instant now)
{
    const auto own = waiting_of(queue, organisation);
    const auto own_use = use_of(queue, organisation, now) + static_cast<double>(own) + 1;
    auto before = static_cast<double>(own);
    for (const auto& [name, line] : queue.m_waiting) {
        if (name != organisation) {
            const auto ahead = std::ceil(own_use - use_of(queue, name, now));
            before += std::clamp(ahead, 0.0, static_cast<double>(line.size()));
        }
    }
    return static_cast<std::size_t>(before);
}

} // namespace chivevane::admission
