#include "libpolicy/admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace chivevane::admission {

namespace {

/// Good answers for the first increase of the limit: enough to show a latency that rises.
constexpr std::uint32_t initial_answers_per_increase = 8;

/// The upper bound of the doubling. Some upstreams warm up only with work, so the limit must go on
/// rising.
constexpr std::uint32_t max_answers_per_increase = 1024;

constexpr double recent_weight = 0.15; // Averages about the last seven answers.
constexpr double typical_weight = 0.02;
constexpr double min_latency_samples = 8;

/// Rise of the recent logarithmic latency that resets the limit: exp(1.4) is four times the typical
/// latency.
constexpr double overload_log_ratio = 1.4;

/// The limit rises only while the recent latency is under twice the typical one.
constexpr double increase_log_ratio = 0.7;

/// Fall of the recent logarithmic latency at which it becomes the typical one. An upstream that is
/// twice as fast has warmed up.
constexpr double warm_up_log_ratio = 0.7;

/// Good answers at full concurrency after which earlier resets no longer slow down increases.
constexpr std::uint32_t answers_to_reset_step = 256;

/// Pause after a refusal, in which an upstream that refuses even a single request becomes idle.
constexpr duration pause_after_refusal = 200ms;

/// Share of the limit of a warm upstream that remains after a refusal on load.
constexpr double share_after_refusal = 0.7;

/// Share of the limit of a warm upstream that remains when its latency has risen fourfold.
constexpr double share_after_slowdown = 0.5;

/// Shortest time between two reductions of a warm upstream's limit. The effect of the first one
/// shows only once the requests that ran before it have ended.
constexpr duration min_reduction_interval = 500ms;

/// Time in which the limit of a warm upstream rises from nothing to all slots.
constexpr duration initial_recovery_time = 4s;
constexpr duration max_recovery_time = 16s;

/// A reduction this soon after the last one, with the limit nearly used up, shows that the upstream
/// bears less than it announces, so that the next rise takes twice as long.
constexpr duration repeated_reduction_period = 10s;
constexpr double nearly_full_share = 0.75;

/// How long a good answer shows how many requests the upstream bears at once.
constexpr duration proof_lifetime = 2s;

constexpr double refusal_share_weight = 0.1; // Averages about the last ten outcomes.

/// Shares of refusals at a load that the upstream has borne between which it refuses a part of its
/// requests whatever its load. Fewer slots would not make it refuse less, so its limit stays. One
/// that refuses nearly all is overloaded by others.
constexpr double min_indiscriminate_share = 0.2;
constexpr double max_indiscriminate_share = 0.8;

/// Longest time between two answers that counts for one rise.
constexpr duration max_rise_interval = 1s;

bool is_from_before_reset(const concurrency_limit& limit, duration latency, instant now)
{
    return now - latency < limit.m_reset_at;
}

/// Resets the limit of a cold upstream to one request at a time and doubles the answers needed for
/// each increase.
void reset_limit(concurrency_limit& limit, instant now)
{
    limit.m_limit = 1;
    limit.m_good_answers = 0;
    limit.m_answers_since_reset = 0;
    limit.m_answers_per_increase =
        std::min(max_answers_per_increase, limit.m_answers_per_increase * 2);
    limit.m_typical_log_latency = 0; // A cold upstream has a different latency.
    limit.m_reset_at = now;
}

void update_latencies(concurrency_limit& limit, double latency_log)
{
    ++limit.m_answers_since_reset;
    const auto sample_share = 1.0 / limit.m_answers_since_reset;
    limit.m_recent_log_latency +=
        std::max(recent_weight, sample_share) * (latency_log - limit.m_recent_log_latency);
    const auto weight = std::max(typical_weight, sample_share);
    limit.m_typical_log_latency += weight * (latency_log - limit.m_typical_log_latency);
    if (limit.m_recent_log_latency < limit.m_typical_log_latency - warm_up_log_ratio) {
        limit.m_typical_log_latency = limit.m_recent_log_latency;
    }
}

void increase_limit(concurrency_limit& limit)
{
    limit.m_good_answers = 0;
    if (limit.m_limit < limit.m_slots) {
        limit.m_limit += 1;
    }
    else {
        limit.m_answers_per_increase = initial_answers_per_increase;
    }
}

/// Takes off a share of the limit of a warm upstream, but nothing below `lowest`, and at most once
/// in the time that the effect of the last reduction takes to show.
void reduce_limit(concurrency_limit& limit, double lowest, double remaining_share,
                  const run_sample& sample, instant now)
{
    const bool was_reduced = limit.m_reduced_at != instant::min();
    if (was_reduced && now - limit.m_reduced_at < min_reduction_interval) {
        return;
    }
    const bool is_repeated = was_reduced && now - limit.m_reduced_at < repeated_reduction_period;
    const bool was_nearly_full = sample.m_running >= limit.m_limit * nearly_full_share;
    if (!is_repeated) {
        limit.m_recovery_time = initial_recovery_time;
    }
    else if (was_nearly_full) {
        limit.m_recovery_time = std::min(max_recovery_time, limit.m_recovery_time * 2);
    }
    const auto reduced = std::max(lowest, limit.m_limit * remaining_share);
    limit.m_limit = std::min(limit.m_limit, reduced);
    limit.m_reset_at = limit.m_reduced_at = limit.m_raised_at = now;
    limit.m_slowdown_samples = 0;
}

/// Raises the limit of a warm upstream by the time since the last rise, so that upstreams with long
/// and with short runs are used again after the same time.
void raise_by_time(concurrency_limit& limit, instant now)
{
    const auto elapsed = std::min(now - limit.m_raised_at, max_rise_interval);
    limit.m_raised_at = now;
    const auto rise = limit.m_slots * to_seconds(elapsed) / to_seconds(limit.m_recovery_time);
    limit.m_limit = std::min<double>(limit.m_slots, limit.m_limit + rise);
}

void record_proof(concurrency_limit& limit, std::uint32_t running, instant now)
{
    const bool is_outdated =
        limit.m_proven_at == instant::min() || now - limit.m_proven_at > proof_lifetime;
    if (is_outdated || running >= limit.m_proven_concurrency) {
        limit.m_proven_concurrency = running;
        limit.m_proven_at = now;
    }
}

/// Requests that the upstream has borne at once a moment ago; at least one.
std::uint32_t proven_concurrency(const concurrency_limit& limit, instant now)
{
    const bool is_recent =
        limit.m_proven_at != instant::min() && now - limit.m_proven_at <= proof_lifetime;
    return is_recent ? std::max(1U, limit.m_proven_concurrency) : 1;
}

/// Records whether a request was refused (1) or not (0) at a load that the upstream has borne.
void update_refusal_share(concurrency_limit& limit, double refused)
{
    limit.m_unexplained_refusal_share +=
        refusal_share_weight * (refused - limit.m_unexplained_refusal_share);
}

void on_load_refused_while_warm(concurrency_limit& limit, const run_sample& sample, instant now)
{
    const auto proven = proven_concurrency(limit, now);
    const bool is_explained = sample.m_running > proven;
    if (!is_explained) {
        update_refusal_share(limit, 1);
    }
    const auto share = limit.m_unexplained_refusal_share;
    const bool is_overloaded = share > max_indiscriminate_share;
    if (!is_overloaded && (!is_explained || share >= min_indiscriminate_share)) {
        return;
    }
    // The refused request was one too many, also if the limit was reduced a moment ago.
    const auto without_refused = std::max(1U, sample.m_running - 1);
    limit.m_limit = std::min<double>(limit.m_limit, std::max(proven, without_refused));
    reduce_limit(limit, is_overloaded ? 1 : proven, share_after_refusal, sample, now);
}

void update_slowdown(concurrency_limit& limit, const run_sample& sample)
{
    if (sample.m_expected <= duration{} || sample.m_latency <= duration{}) {
        return;
    }
    const auto slowdown = std::log(to_seconds(sample.m_latency) / to_seconds(sample.m_expected));
    ++limit.m_slowdown_samples;
    const auto weight = std::max(recent_weight, 1.0 / limit.m_slowdown_samples);
    limit.m_recent_log_slowdown += weight * (slowdown - limit.m_recent_log_slowdown);
}

void on_good_answer_while_warm(concurrency_limit& limit, const run_sample& sample, instant now)
{
    record_proof(limit, sample.m_running, now);
    update_refusal_share(limit, 0);
    update_slowdown(limit, sample);
    if (limit.m_slowdown_samples >= min_latency_samples &&
        limit.m_recent_log_slowdown > overload_log_ratio) {
        reduce_limit(limit, 1, share_after_slowdown, sample, now);
        return;
    }
    if (sample.m_running >= current_limit(limit) && limit.m_limit < limit.m_slots) {
        raise_by_time(limit, now);
    }
    else {
        limit.m_raised_at = now;
    }
}

std::uint32_t answers_until_increase(const concurrency_limit& limit)
{
    return limit.m_limit < limit.m_slots ? limit.m_answers_per_increase : answers_to_reset_step;
}

} // namespace

void restart(concurrency_limit& limit, warm_up_state announced, instant now)
{
    const auto slots = limit.m_slots;
    limit = {};
    limit.m_slots = slots;
    limit.m_announced = announced;
    limit.m_limit = announced == warm_up_state::warm ? slots : 1;
    limit.m_answers_per_increase = initial_answers_per_increase;
    limit.m_recovery_time = initial_recovery_time;
    limit.m_reset_at = limit.m_raised_at = now;
}

void set_slots(concurrency_limit& limit, std::uint32_t slots)
{
    const bool had_all_slots =
        limit.m_announced == warm_up_state::warm && limit.m_limit >= limit.m_slots;
    limit.m_slots = std::max(1U, slots);
    limit.m_limit = had_all_slots ? limit.m_slots : std::min<double>(limit.m_limit, limit.m_slots);
}

std::uint32_t current_limit(const concurrency_limit& limit)
{
    return std::max(1U, static_cast<std::uint32_t>(limit.m_limit));
}

void on_good_answer(concurrency_limit& limit, const run_sample& sample, instant now)
{
    if (is_from_before_reset(limit, sample.m_latency, now)) {
        return;
    }
    const auto latency = std::max(sample.m_latency, duration{1});
    update_latencies(limit, std::log(static_cast<double>(latency.count())));
    if (limit.m_announced == warm_up_state::warm) {
        on_good_answer_while_warm(limit, sample, now);
        return;
    }
    const auto log_increase = limit.m_recent_log_latency - limit.m_typical_log_latency;
    if (limit.m_answers_since_reset >= min_latency_samples && log_increase > overload_log_ratio) {
        reset_limit(limit, now);
        return;
    }
    if (log_increase < increase_log_ratio && sample.m_running >= current_limit(limit) &&
        ++limit.m_good_answers >= answers_until_increase(limit)) {
        increase_limit(limit);
    }
}

void on_load_refused(concurrency_limit& limit, const run_sample& sample, instant now)
{
    if (is_from_before_reset(limit, sample.m_latency, now)) {
        return;
    }
    const bool was_one = current_limit(limit) == 1;
    if (limit.m_announced == warm_up_state::warm) {
        on_load_refused_while_warm(limit, sample, now);
    }
    else {
        reset_limit(limit, now);
    }
    if (was_one || limit.m_announced == warm_up_state::cold) {
        limit.m_paused_until = now + pause_after_refusal;
    }
}

duration typical_latency(const concurrency_limit& limit)
{
    if (limit.m_answers_since_reset < min_latency_samples) {
        return duration{};
    }
    return duration{static_cast<std::int64_t>(std::exp(limit.m_typical_log_latency))};
}

} // namespace chivevane::admission
