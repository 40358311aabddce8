#include "libpolicy/admission/admission.h"

#include <algorithm>
#include <iterator>

namespace chivevane::admission {

namespace {

constexpr std::size_t max_queue_length = 64;

} // namespace

void set_upstream(admission_state& state, std::string_view endpoint, std::uint32_t slots,
                  upstream_warmth, upstream_news, instant)
{
    auto& upstream = state.m_upstreams[std::string{endpoint}];
    upstream.m_slots = slots;
    upstream.m_concurrency = slots;
}

std::vector<queued_attempt> remove_upstream(admission_state& state, std::string_view endpoint)
{
    const auto found = state.m_upstreams.find(endpoint);
    if (found == state.m_upstreams.end()) {
        return {};
    }
    auto& queue = found->second.m_queue;
    std::vector<queued_attempt> waiting(queue.begin(), queue.end());
    state.m_upstreams.erase(found);
    return waiting;
}

verdict offer(admission_state& state, const queued_attempt& attempt, instant)
{
    const auto found = state.m_upstreams.find(attempt.m_endpoint);
    if (found == state.m_upstreams.end()) {
        return verdict::refused;
    }
    auto& upstream = found->second;
    if (upstream.m_running < upstream.m_concurrency) {
        ++upstream.m_running;
        return verdict::start;
    }
    if (upstream.m_queue.size() >= max_queue_length) {
        return verdict::refused;
    }
    upstream.m_queue.push_back(attempt);
    return verdict::queued;
}

void finished(admission_state& state, std::string_view endpoint, run_result, duration, instant)
{
    const auto found = state.m_upstreams.find(endpoint);
    if (found != state.m_upstreams.end() && found->second.m_running > 0) {
        --found->second.m_running;
    }
}

bool withdraw(admission_state& state, std::string_view endpoint, const attempt_id& attempt)
{
    const auto found = state.m_upstreams.find(endpoint);
    if (found == state.m_upstreams.end()) {
        return false;
    }
    return std::erase_if(found->second.m_queue, [&attempt](const queued_attempt& waiting) {
               return waiting.m_attempt == attempt;
           }) > 0;
}

std::vector<queued_attempt> take_startable(admission_state& state, instant)
{
    std::vector<queued_attempt> startable;
    for (auto& [endpoint, upstream] : state.m_upstreams) {
        while (!upstream.m_queue.empty() && upstream.m_running < upstream.m_concurrency) {
            startable.push_back(upstream.m_queue.front());
            upstream.m_queue.pop_front();
            ++upstream.m_running;
        }
    }
    return startable;
}

std::vector<queued_attempt> take_expired(admission_state& state, instant now)
{
    std::vector<queued_attempt> expired;
    for (auto& [endpoint, upstream] : state.m_upstreams) {
        auto& queue = upstream.m_queue;
        const auto is_alive = [now](const queued_attempt& waiting) {
            return waiting.m_deadline > now;
        };
        const auto first_expired = std::stable_partition(queue.begin(), queue.end(), is_alive);
        std::copy(first_expired, queue.end(), std::back_inserter(expired));
        queue.erase(first_expired, queue.end());
    }
    return expired;
}

load load_of(const admission_state& state, std::string_view endpoint)
{
    const auto found = state.m_upstreams.find(endpoint);
    if (found == state.m_upstreams.end()) {
        return {};
    }
    return {found->second.m_concurrency, static_cast<std::uint32_t>(found->second.m_queue.size())};
}

instant next_wakeup(const admission_state& state)
{
    auto earliest = instant::max();
    for (const auto& [endpoint, upstream] : state.m_upstreams) {
        for (const auto& waiting : upstream.m_queue) {
            earliest = std::min(earliest, waiting.m_deadline);
        }
    }
    return earliest;
}

} // namespace chivevane::admission
