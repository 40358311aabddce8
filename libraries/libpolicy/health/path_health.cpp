#include "libpolicy/health/path_health.h"

#include <algorithm>

namespace chivevane::health {

namespace {

constexpr std::uint32_t unreachable_points = 2;
constexpr std::uint32_t bad_answer_points = 1; // The way or the upstream may be the cause.
constexpr std::uint32_t avoiding_points = 5;
constexpr duration first_stay = 1s;
constexpr duration longest_stay = 30s;
constexpr duration trouble_memory = 60s; // Twice the longest stay, so that stays can grow.

std::uint32_t points_of(observed_result result)
{
    switch (result) {
    case observed_result::unreachable:
        return unreachable_points;
    case observed_result::wrong:
    case observed_result::timed_out:
        return bad_answer_points;
    case observed_result::good:
    case observed_result::server_error:
        return 0; // The answer came through: the way is good.
    }
    return 0;
}

} // namespace

void observe(path_view& view, const observation& seen, instant now)
{
    const auto points = points_of(seen.m_result);
    if (points == 0) {
        view.m_paths.erase(seen.m_upstream);
        return;
    }
    auto& path = view.m_paths[seen.m_upstream];
    path.m_troubled_at = now;
    path.m_trouble = std::min(path.m_trouble + points, avoiding_points);
    if (path.m_trouble >= avoiding_points && now >= path.m_avoided_until) {
        path.m_stay = std::clamp(path.m_stay * 2, first_stay, longest_stay);
        path.m_avoided_until = now + path.m_stay;
    }
}

bool is_avoided(const path_view& view, const upstream_id& upstream, instant now)
{
    const auto found = view.m_paths.find(upstream);
    return found != view.m_paths.end() && now < found->second.m_avoided_until;
}

void forget_old(path_view& view, instant now)
{
    std::erase_if(view.m_paths, [now](const auto& entry) {
        return now - entry.second.m_troubled_at > trouble_memory;
    });
}

} // namespace chivevane::health
