#include "libpolicy/health/health.h"

namespace chivevane::health {

void observe(health_state&, context&, const observation&) {}

void on_report(health_state&, context&, const host_identity&, const health_report&) {}

void on_timer(health_state&, context&, const membership_state&, const configuration_state&) {}

verdict verdict_on(const health_state& state, const upstream_id& upstream)
{
    return state.m_ejected.contains(upstream) ? verdict{standing::ejected, 0} : verdict{};
}

duration expected_latency(const health_state&, std::string_view, std::string_view,
                          duration fallback)
{
    return fallback;
}

instant next_wakeup(const health_state&)
{
    return instant::max();
}

} // namespace chivevane::health
