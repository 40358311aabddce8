#include "libpolicy/ingress/request_priority.h"

#include "libbase/digest.h"

#include <algorithm>

namespace chivevane::ingress {

namespace {

/// Priorities at gates for each configured one: the classes of calls, and after them the requests
/// of organisations.
constexpr std::uint32_t call_classes = 15;
constexpr std::uint32_t priorities_per_rank = call_classes + 1;

/// Ranks of routes inside a configured priority. Less urgent routes share the last one.
constexpr std::uint32_t route_ranks = 16;

/// How long a host's calls keep their class. Most requests make all their calls within this time.
constexpr duration class_duration = 2s;

/// How far the class periods of `host` are shifted, in microseconds. Hosts change classes at
/// different times.
std::int64_t phase_of(std::string_view host)
{
    const auto length = static_cast<std::uint64_t>(class_duration.count());
    return static_cast<std::int64_t>(stable_hash(host) % length);
}

std::int64_t class_period(std::string_view host, instant now)
{
    return (now.time_since_epoch().count() + phase_of(host)) / class_duration.count();
}

/// The class of the calls that upstreams of `host` make now, from 0, the most urgent.
std::uint32_t call_class(std::string_view host, instant now)
{
    const auto period = static_cast<std::uint64_t>(class_period(host, now));
    return static_cast<std::uint32_t>(stable_hash(host, period) % call_classes);
}

std::uint32_t rank_of(const priority_input& input)
{
    return input.m_route
               ? input.m_configured * route_ranks + std::min(*input.m_route, route_ranks - 1)
               : input.m_configured;
}

} // namespace

std::uint32_t request_priority(const priority_input& input)
{
    const auto first = rank_of(input) * priorities_per_rank;
    if (!input.m_organisation.empty()) {
        return first + call_classes;
    }
    return first + call_class(input.m_host, input.m_now);
}

} // namespace chivevane::ingress
