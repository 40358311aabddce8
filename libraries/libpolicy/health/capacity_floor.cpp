#include "libpolicy/health/capacity_floor.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace chivevane::health {

namespace {

constexpr double default_floor = 0.5;
constexpr double rounding = 1e-9; // Sums of shares are not exact.

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

int distance_from_use(standing where)
{
    switch (where) {
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

bool comes_back_before(const floor_member* left, const floor_member* right)
{
    const auto rank = [](const floor_member& member) {
        return std::tuple{distance_from_use(member.m_verdict.m_standing), member.m_excess};
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
    for (const auto& [name, held] : configuration.m_documents) {
        for (const auto& policy : held.m_rules->m_services) {
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
    double all_slots = 0;
    std::vector<floor_member*> spared;
    for (auto& member : members) {
        all_slots += member.m_slots;
        if (slots_in_use(member) < member.m_slots) {
            spared.push_back(&member);
        }
    }
    std::sort(spared.begin(), spared.end(), comes_back_before);
    auto in_use = capacity_in_use(members);
    for (auto* member : spared) {
        if (in_use >= floor * all_slots - rounding) {
            return;
        }
        in_use += member->m_slots - slots_in_use(*member);
        member->m_verdict = {standing::healthy, 1};
    }
}

} // namespace chivevane::health
