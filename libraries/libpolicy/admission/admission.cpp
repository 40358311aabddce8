#include "libpolicy/admission/admission.h"

#include <algorithm>
#include <iterator>

namespace chivevane::admission {

namespace {

constexpr std::size_t queue_for_each_running = 16; // More would wait longer than callers do.

constexpr double mean_weight = 0.05; ///< About the last twenty runs.

/// Runs of an attempt's own are counted longer than their mean, so that most end in time.
constexpr double own_run_factor = 2;

/// Share of the slots up to which an attempt that may not wait is started: the last ones are left
/// for bursts, and upstreams that are nearly full answer slowly.
constexpr double idle_share = 0.75;

/// Part of the starts that an upstream of unknown warmth bears after which its warmth is to be
/// confirmed: the rest bridges the time that takes.
constexpr double share_before_confirmation = 0.5;

/// Whether the rate of starts protects the upstream while it is cold.
bool protects_by_rate(const upstream_admission& upstream)
{
    return upstream.m_cold.m_rate > 0;
}

/// How many attempts run at once. Where it is told what a cold upstream bears, the rate of starts
/// protects it; otherwise its answers tell.
std::uint32_t concurrency_of(const upstream_admission& upstream)
{
    return protects_by_rate(upstream) ? upstream.m_limit.m_slots : upstream.m_limit.m_limit;
}

/// The bound on the starts of any second: at most `m_limit` of those after `m_since`.
struct start_bound {
    std::uint32_t m_limit = 1;
    instant m_since = instant::min();
};

start_bound bound_of(const upstream_admission& upstream)
{
    const auto whole = [](double starts) {
        return std::max(1U, static_cast<std::uint32_t>(starts));
    };
    if (upstream.m_announced == upstream_warmth::cold) {
        return {whole(upstream.m_cold.m_rate)};
    }
    return {whole(upstream.m_cold.m_most), upstream.m_confirmed_warm_at};
}

bool may_start_by_rate(upstream_admission& upstream, instant now)
{
    const auto [limit, since] = bound_of(upstream);
    return !protects_by_rate(upstream) || may_start(upstream.m_starts, limit, since, now);
}

bool has_room(upstream_admission& upstream, instant now)
{
    return upstream.m_running < concurrency_of(upstream) &&
           now >= upstream.m_limit.m_paused_until && may_start_by_rate(upstream, now);
}

/// Whether the upstream has room to spare.
bool is_idle(upstream_admission& upstream, instant now)
{
    const auto idle =
        std::max(1U, static_cast<std::uint32_t>(concurrency_of(upstream) * idle_share));
    return upstream.m_running < idle && has_room(upstream, now);
}

instant next_start_by_rate(const upstream_admission& upstream)
{
    const auto [limit, since] = bound_of(upstream);
    return protects_by_rate(upstream) ? next_start(upstream.m_starts, limit, since) : instant{};
}

void note_started(upstream_admission& upstream, instant now)
{
    ++upstream.m_running;
    if (protects_by_rate(upstream)) {
        note_start(upstream.m_starts, now);
    }
}

/// How many attempts of one line may wait: an even part of the queue among those that are as
/// urgent. Attempts without an organisation may be of any number of callers: they share the queue.
std::size_t longest_line(const upstream_admission& upstream, const queue_line& line)
{
    const auto places = queue_for_each_running * concurrency_of(upstream);
    if (line.m_organisation.empty()) {
        return places;
    }
    const auto& waiting = upstream.m_queue.m_waiting;
    const auto others = std::count_if(waiting.begin(), waiting.end(), [&line](const auto& entry) {
        return entry.first != line && entry.first.m_priority <= line.m_priority;
    });
    return std::max<std::size_t>(1, places / (static_cast<std::size_t>(others) + 1));
}

/// When a new attempt would have its answer: after those before it and the ones that run now.
instant expected_answer(const upstream_admission& upstream, const queued_attempt& attempt,
                        instant now)
{
    const auto before =
        static_cast<std::int64_t>(count_before(upstream.m_queue, line_of(attempt), now));
    if (protects_by_rate(upstream)) {
        const auto mean = from_seconds(upstream.m_mean_run_s);
        const auto own = attempt.m_expected_run == duration{} ? mean : attempt.m_expected_run;
        return now + from_seconds(to_seconds(own) * own_run_factor) +
               mean * (before + 1) / concurrency_of(upstream);
    }
    const auto typical = typical_latency(upstream.m_limit);
    return now + typical + typical * before / concurrency_of(upstream);
}

bool may_wait(const upstream_admission& upstream, const queued_attempt& attempt, instant now)
{
    const auto line = line_of(attempt);
    return waiting_of(upstream.m_queue, line) < longest_line(upstream, line) &&
           expected_answer(upstream, attempt, now) <=
               std::min(attempt.m_target, attempt.m_deadline);
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

void set_cold_bounds(admission_state& state, std::string_view endpoint, const cold_bounds& bounds)
{
    if (const auto found = state.m_upstreams.find(endpoint); found != state.m_upstreams.end()) {
        found->second.m_cold = bounds;
    }
}

bool needs_confirmation(admission_state& state, std::string_view endpoint, instant now)
{
    const auto found = state.m_upstreams.find(endpoint);
    if (found == state.m_upstreams.end() || !protects_by_rate(found->second) ||
        found->second.m_announced == upstream_warmth::cold) {
        return false;
    }
    auto& upstream = found->second;
    const auto [limit, since] = bound_of(upstream);
    return static_cast<double>(count_starts(upstream.m_starts, since, now)) >=
           limit * share_before_confirmation;
}

void confirm_warm(admission_state& state, std::string_view endpoint, instant since)
{
    if (const auto found = state.m_upstreams.find(endpoint); found != state.m_upstreams.end()) {
        auto& confirmed_at = found->second.m_confirmed_warm_at;
        confirmed_at = std::max(confirmed_at, since);
    }
}

void note_cold(admission_state& state, std::string_view endpoint)
{
    if (const auto found = state.m_upstreams.find(endpoint); found != state.m_upstreams.end()) {
        found->second.m_announced = upstream_warmth::cold;
    }
}

void block_starts(admission_state& state, std::string_view endpoint, instant until)
{
    if (const auto found = state.m_upstreams.find(endpoint); found != state.m_upstreams.end()) {
        found->second.m_starts.m_blocked_until = until;
    }
}

std::vector<queued_attempt> take_waiting(admission_state& state, std::string_view endpoint)
{
    const auto found = state.m_upstreams.find(endpoint);
    return found == state.m_upstreams.end() ? std::vector<queued_attempt>{}
                                            : take_due(found->second.m_queue, instant::max());
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
    const bool must_start = attempt.m_waiting == link_waiting::forbidden;
    if (upstream.m_queue.m_size == 0 &&
        (must_start ? is_idle(upstream, now) : has_room(upstream, now))) {
        note_started(upstream, now);
        note_given(upstream.m_queue, line_of(attempt), now);
        return verdict::start;
    }
    if (must_start) {
        return verdict::refused;
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
    if (result == run_result::good || result == run_result::failed) {
        const auto weight = upstream.m_mean_run_s > 0 ? mean_weight : 1;
        upstream.m_mean_run_s += weight * (to_seconds(latency) - upstream.m_mean_run_s);
    }
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
            note_started(upstream, now);
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
    return {concurrency_of(upstream), static_cast<std::uint32_t>(upstream.m_queue.m_size),
            upstream.m_running};
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
        if (upstream.m_running < concurrency_of(upstream)) {
            earliest = std::min(
                earliest, std::max(upstream.m_limit.m_paused_until, next_start_by_rate(upstream)));
        }
    }
    return earliest;
}

} // namespace chivevane::admission
