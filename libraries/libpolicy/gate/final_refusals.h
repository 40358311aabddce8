#pragma once

#include "libwire/attempt_id.h"
#include "libwire/host_identity.h"

#include <cstdint>
#include <map>
#include <utility>

namespace chivevane {

/// Which attempts without a clock reading this gate has refused for good.
///
/// A tombstone tells a late copy of a refused attempt only for `tombstone_lifetime`, and a copy
/// without a clock reading does not show its age. So the gate remembers the latest refused attempt
/// of each ingress process, and runs no attempt without a reading that is not later than it.
struct final_refusals {
    /// Request number and attempt number of the latest refused attempt of each ingress process.
    std::map<host_identity, std::pair<std::uint64_t, std::uint32_t>> m_latest;

    /// Whether an ingress process could not be added, so that all attempts need a clock reading.
    bool m_is_full = false;
};

} // namespace chivevane

namespace chivevane::gate {

/// Records that an attempt without a clock reading was refused.
void record_final_refusal(final_refusals& refusals, const attempt_id& attempt);

/// Whether an attempt without a clock reading may be a copy of one that was refused.
bool may_be_refused_copy(const final_refusals& refusals, const attempt_id& attempt);

} // namespace chivevane::gate
