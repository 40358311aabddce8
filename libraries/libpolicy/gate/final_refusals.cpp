#include "libpolicy/gate/final_refusals.h"

#include <algorithm>
#include <cstddef>

namespace chivevane::gate {

namespace {

constexpr std::size_t max_ingress_processes = 16'384; // About 100 B each.

std::pair<std::uint64_t, std::uint32_t> position_of(const attempt_id& attempt)
{
    return {attempt.m_request, attempt.m_attempt};
}

} // namespace

void record_final_refusal(final_refusals& refusals, const attempt_id& attempt)
{
    const auto found = refusals.m_latest.find(attempt.m_ingress);
    if (found != refusals.m_latest.end()) {
        found->second = std::max(found->second, position_of(attempt));
        return;
    }
    if (refusals.m_latest.size() >= max_ingress_processes) {
        refusals.m_is_full = true;
        return;
    }
    refusals.m_latest.emplace(attempt.m_ingress, position_of(attempt));
}

bool may_be_refused_copy(const final_refusals& refusals, const attempt_id& attempt)
{
    const auto found = refusals.m_latest.find(attempt.m_ingress);
    return refusals.m_is_full ||
           (found != refusals.m_latest.end() && position_of(attempt) <= found->second);
}

} // namespace chivevane::gate
