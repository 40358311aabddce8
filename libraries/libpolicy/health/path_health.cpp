#include "libpolicy/health/path_health.h"

#include <algorithm>

namespace chivevane::health {

namespace {

constexpr std::uint32_t points_if_unreachable = 2;
// Either the path or the upstream may cause a bad answer.
constexpr std::uint32_t points_for_bad_answer = 1;
constexpr std::uint32_t avoidance_threshold = 5;
constexpr duration min_backoff = 1s;
constexpr duration max_backoff = 30s;
// Twice the longest backoff, so that repeated backoffs can grow.
constexpr duration path_record_lifetime = 60s;

std::uint32_t points_of(observed_result result)
{
    switch (result) {
    case observed_result::unreachable:
        return points_if_unreachable;
    case observed_result::corrupted:
    case observed_result::timed_out:
        return points_for_bad_answer;
    case observed_result::good:
    case observed_result::server_error:
        return 0; // The answer came through, so the path works.
    }
    return 0;
}

} // namespace

void record_observation(path_health& paths, const observation& seen, instant now)
{
    const auto points = points_of(seen.m_result);
    if (points == 0) {
        paths.m_paths.erase(seen.m_upstream);
        return;
    }
    auto& path = paths.m_paths[seen.m_upstream];
    path.m_failed_at = now;
    path.m_failure_points = std::min(path.m_failure_points + points, avoidance_threshold);
    if (path.m_failure_points >= avoidance_threshold && now >= path.m_avoided_until) {
        path.m_backoff = std::clamp(path.m_backoff * 2, min_backoff, max_backoff);
        path.m_avoided_until = now + path.m_backoff;
    }
}

bool is_avoided(const path_health& paths, const upstream_id& upstream, instant now)
{
    const auto found = paths.m_paths.find(upstream);
    return found != paths.m_paths.end() && now < found->second.m_avoided_until;
}

void erase_expired(path_health& paths, instant now)
{
    std::erase_if(paths.m_paths, [now](const auto& entry) {
        return now - entry.second.m_failed_at > path_record_lifetime;
    });
}

} // namespace chivevane::health
