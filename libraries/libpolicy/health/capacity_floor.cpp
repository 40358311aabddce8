#include "libpolicy/health/capacity_floor.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace chivevane::health {

namespace {

constexpr double default_floor = 0.5;
constexpr double rounding_tolerance = 1e-9; // Sums of floating-point shares are not exact.

double slots_in_use(const floor_candidate& candidate)
{
    switch (candidate.m_assessment.m_status) {
    case health_status::healthy:
    case health_status::ramping:
        return candidate.m_slots * candidate.m_assessment.m_share;
    case health_status::trial:
    case health_status::ejected:
        return 0;
    }
    return 0;
}

/// Upstreams of a lower rank return to use first.
int return_rank(health_status status)
{
    switch (status) {
    case health_status::healthy:
    case health_status::ramping:
        return 0;
    case health_status::trial:
        return 1;
    case health_status::ejected:
        return 2;
    }
    return 2;
}

bool returns_before(const floor_candidate* left, const floor_candidate* right)
{
    const auto rank = [](const floor_candidate& candidate) {
        return std::tuple{return_rank(candidate.m_assessment.m_status), candidate.m_excess};
    };
    if (rank(*left) != rank(*right)) {
        return rank(*left) < rank(*right);
    }
    return *left->m_upstream < *right->m_upstream;
}

} // namespace

double capacity_floor_of(const configuration_state& configuration, std::string_view service)
{
    double largest = -1;
    for (const auto& [name, entry] : configuration.m_documents) {
        for (const auto& policy : entry.m_document->m_services) {
            if (policy.m_name == service) {
                largest = std::max(largest, policy.m_floor);
            }
        }
    }
    return largest < 0 ? default_floor : largest;
}

double capacity_in_use(std::span<const floor_candidate> candidates)
{
    double slots = 0;
    for (const auto& candidate : candidates) {
        slots += slots_in_use(candidate);
    }
    return slots;
}

void enforce_capacity_floor(std::span<floor_candidate> candidates, double floor)
{
    double total_slots = 0;
    std::vector<floor_candidate*> restricted;
    for (auto& candidate : candidates) {
        total_slots += candidate.m_slots;
        if (slots_in_use(candidate) < candidate.m_slots) {
            restricted.push_back(&candidate);
        }
    }
    std::sort(restricted.begin(), restricted.end(), returns_before);
    auto in_use = capacity_in_use(candidates);
    for (auto* candidate : restricted) {
        if (in_use >= floor * total_slots - rounding_tolerance) {
            return;
        }
        in_use += candidate->m_slots - slots_in_use(*candidate);
        candidate->m_assessment = {health_status::healthy, 1};
    }
}

} // namespace chivevane::health
