#include "libpolicy/admission/admission.h"

#include <algorithm>
#include <iterator>

namespace chivevane::admission {

namespace {

constexpr std::size_t queue_for_each_running = 16; // More would wait longer than callers do.

bool has_room(const upstream_admission& upstream, instant now)
{
    return upstream.m_running < upstream.m_limit.m_limit && now >= upstream.m_limit.m_paused_until;
}

/// How many attempts of one organisation may wait: an even part of the queue.
std::size_t longest_line(const upstream_admission& upstream, std::string_view organisation)
{
    const auto others =
        upstream.m_queue.m_waiting.size() - upstream.m_queue.m_waiting.count(organisation);
    const auto places = queue_for_each_running * upstream.m_limit.m_limit;
    return std::max<std::size_t>(1, places / (others + 1));
}

/// When a new attempt of `organisation` would have its answer.
instant expected_answer(const upstream_admission& upstream, std::string_view organisation,
                        instant now)
{
    const auto typical = typical_latency(upstream.m_limit);
    const auto before =
        static_cast<std::int64_t>(count_before(upstream.m_queue, organisation, now));
    return now + typical + typical * before / upstream.m_limit.m_limit;
}

bool may_wait(const upstream_admission& upstream, const queued_attempt& attempt, instant now)
{
    const auto& organisation = attempt.m_organisation;
    return waiting_of(upstream.m_queue, organisation) < longest_line(upstream, organisation) &&
           expected_answer(upstream, organisation, now) <= attempt.m_deadline;
}

} // namespace

void set_upstream(admission_state& state, std::string_view endpoint, std::uint32_t slots,
                  upstream_warmth warmth, upstream_news news, instant now)
{
    const auto [place, is_new] = state.m_upstreams.try_emplace(std::string{endpoint});
    auto& upstream = place->second;
    set_slots(upstream.m_limit, slots);
    const bool became_cold =
        upstream.m_announced == upstream_warmth::warm && warmth == upstream_warmth::cold;
    if (is_new || became_cold || news == upstream_news::started_anew) {
        start_cold(upstream.m_limit, now);
    }
    upstream.m_announced = warmth;
}

std::vector<queued_attempt> remove_upstream(admission_state& state, std::string_view endpoint)
{
    const auto found = state.m_upstreams.find(endpoint);
    if (found == state.m_upstreams.end()) {
        return {};
    }
    auto waiting = take_due(found->second.m_queue, instant::max());
    state.m_upstreams.erase(found);
    return waiting;
}

verdict offer(admission_state& state, const queued_attempt& attempt, instant now)
{
    const auto found = state.m_upstreams.find(attempt.m_endpoint);
    if (found == state.m_upstreams.end()) {
        return verdict::refused;
    }
    auto& upstream = found->second;
    if (upstream.m_queue.m_size == 0 && has_room(upstream, now)) {
        ++upstream.m_running;
        note_given(upstream.m_queue, attempt.m_organisation, now);
        return verdict::start;
    }
    if (!may_wait(upstream, attempt, now)) {
        return verdict::refused;
    }
    push(upstream.m_queue, attempt);
    return verdict::queued;
}

void finished(admission_state& state, std::string_view endpoint, run_result result,
              duration latency, instant now)
{
    const auto found = state.m_upstreams.find(endpoint);
    if (found == state.m_upstreams.end() || found->second.m_running == 0) {
        return;
    }
    auto& upstream = found->second;
    if (result == run_result::good) {
        on_good_answer(upstream.m_limit, latency, upstream.m_running, now);
    }
    else if (result == run_result::load_refused) {
        on_load_refused(upstream.m_limit, latency, now);
    }
    --upstream.m_running;
}

bool withdraw(admission_state& state, std::string_view endpoint, const attempt_id& attempt)
{
    const auto found = state.m_upstreams.find(endpoint);
    return found != state.m_upstreams.end() && withdraw(found->second.m_queue, attempt);
}

std::vector<queued_attempt> take_startable(admission_state& state, instant now)
{
    std::vector<queued_attempt> startable;
    for (auto& [endpoint, upstream] : state.m_upstreams) {
        while (upstream.m_queue.m_size > 0 && has_room(upstream, now)) {
            startable.push_back(*pop(upstream.m_queue, now));
            ++upstream.m_running;
        }
    }
    return startable;
}

std::vector<queued_attempt> take_expired(admission_state& state, instant now)
{
    std::vector<queued_attempt> expired;
    for (auto& [endpoint, upstream] : state.m_upstreams) {
        const auto due = take_due(upstream.m_queue, now + typical_latency(upstream.m_limit));
        std::copy(due.begin(), due.end(), std::back_inserter(expired));
    }
    return expired;
}

load load_of(const admission_state& state, std::string_view endpoint)
{
    const auto found = state.m_upstreams.find(endpoint);
    if (found == state.m_upstreams.end()) {
        return {};
    }
    const auto& upstream = found->second;
    return {upstream.m_limit.m_limit, static_cast<std::uint32_t>(upstream.m_queue.m_size)};
}

instant next_wakeup(const admission_state& state)
{
    auto earliest = instant::max();
    for (const auto& [endpoint, upstream] : state.m_upstreams) {
        if (upstream.m_queue.m_size == 0) {
            continue;
        }
        const auto typical = typical_latency(upstream.m_limit);
        earliest = std::min(earliest, upstream.m_queue.m_earliest_deadline - typical);
        if (upstream.m_running < upstream.m_limit.m_limit) {
            earliest = std::min(earliest, upstream.m_limit.m_paused_until);
        }
    }
    return earliest;
}

} // namespace chivevane::admission
