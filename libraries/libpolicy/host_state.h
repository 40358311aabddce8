#pragma once

#include "libbase/random_engine.h"
#include "libpolicy/admission/admission_state.h"
#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/failed_upstream_calls.h"
#include "libpolicy/gate/gate_state.h"
#include "libpolicy/health/health_state.h"
#include "libpolicy/host_settings.h"
#include "libpolicy/ingress/ingress_state.h"
#include "libpolicy/limits/limits_state.h"
#include "libpolicy/membership/membership_state.h"
#include "libpolicy/recovery/recovery_state.h"

#include <cstdint>
#include <optional>

namespace chivevane {

/// The complete state of the reducer of one host.
struct host_state {
    host_settings m_settings;
    random_engine m_random;
    std::uint64_t m_last_id = 0;
    ingress_state m_ingress;
    gate_state m_gate;
    failed_upstream_calls m_failed_upstream_calls;
    limits_state m_limits;
    health_state m_health;
    admission_state m_admission;
    membership_state m_membership;
    configuration_state m_configuration;
    recovery_state m_recovery;
    std::optional<instant> m_leave_deadline; ///< Set once the host is asked to shut down.

    /// Until then a host that is asked to shut down still takes requests.
    std::optional<instant> m_shutdown_notice_until;
};

} // namespace chivevane
