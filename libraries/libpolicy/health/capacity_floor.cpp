#include "libpolicy/health/capacity_floor.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace chivevane::health {

namespace {

constexpr double default_floor = 0.5;
constexpr double rounding_tolerance = 1e-9; // Sums of floating-point shares are not exact.

double slots_in_use(const floor_member& member)
{
    switch (member.m_verdict.m_standing) {
    case standing::healthy:
    case standing::ramping:
        return member.m_slots * member.m_verdict.m_share;
    case standing::trial:
    case standing::ejected:
        return 0;
    }
    return 0;
}

/// Upstreams of a lower rank return to use first.
int return_rank(standing status)
{
    switch (status) {
    case standing::healthy:
    case standing::ramping:
        return 0;
    case standing::trial:
        return 1;
    case standing::ejected:
        return 2;
    }
    return 2;
}

bool returns_before(const floor_member* left, const floor_member* right)
{
    const auto rank = [](const floor_member& member) {
        return std::tuple{return_rank(member.m_verdict.m_standing), member.m_excess};
    };
    if (rank(*left) != rank(*right)) {
        return rank(*left) < rank(*right);
    }
    return *left->m_upstream < *right->m_upstream;
}

} // namespace

double floor_of(const configuration_state& configuration, std::string_view service)
{
    double largest = -1;
    for (const auto& [name, entry] : configuration.m_documents) {
        for (const auto& policy : entry.m_rules->m_services) {
            if (policy.m_name == service) {
                largest = std::max(largest, policy.m_floor);
            }
        }
    }
    return largest < 0 ? default_floor : largest;
}

double capacity_in_use(std::span<const floor_member> members)
{
    double slots = 0;
    for (const auto& member : members) {
        slots += slots_in_use(member);
    }
    return slots;
}

void enforce_floor(std::span<floor_member> members, double floor)
{
    double total_slots = 0;
    std::vector<floor_member*> restricted;
    for (auto& member : members) {
        total_slots += member.m_slots;
        if (slots_in_use(member) < member.m_slots) {
            restricted.push_back(&member);
        }
    }
    std::sort(restricted.begin(), restricted.end(), returns_before);
    auto in_use = capacity_in_use(members);
    for (auto* member : restricted) {
        if (in_use >= floor * total_slots - rounding_tolerance) {
            return;
        }
        in_use += member->m_slots - slots_in_use(*member);
        member->m_verdict = {standing::healthy, 1};
    }
}

} // namespace chivevane::health
