#pragma once

#include "libbase/instant.h"
#include "libpolicy/limits/borrowing_state.h"
#include "libpolicy/limits/holder_lease_state.h"
#include "libpolicy/limits/lending_state.h"
#include "libpolicy/limits/metering_state.h"
#include "libpolicy/limits/roster_state.h"
#include "libpolicy/limits/share_lease_state.h"
#include "libpolicy/limits/slot_pool.h"

#include <vector>

namespace chivevane {

/// State of the rate limits of all organisations on this host.
struct limits_state {
    std::vector<slot_pool> m_pools{
        slot_count}; ///< Units and buckets that this host may use, by slot.
    roster_state m_roster;
    holder_lease_state m_holder_lease;
    share_lease_state m_leases;
    lending_state m_lending;
    borrowing_state m_borrowing;
    instant m_next_sweep;
    metering_state m_metering;
};

} // namespace chivevane
