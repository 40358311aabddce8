#pragma once

#include "libbase/instant.h"

#include <cstdint>
#include <variant>

namespace chivevane::limits {

/// The request may start.
struct granted {
    bool operator==(const granted&) const = default;
};

/// The request must not start now, since the organisation's rate limit is used up.
struct refused {
    duration m_retry_after{};
    bool operator==(const refused&) const = default;
};

/// The decision is pending until another host answers, usually within a few milliseconds;
/// `take_deferred_decisions` returns it later.
struct waiting {
    bool operator==(const waiting&) const = default;
};

using decision = std::variant<granted, refused, waiting>;

/// The decision on a request for which `take_token` returned `waiting`.
struct deferred_decision {
    std::uint64_t m_request_id = 0; ///< The `request_id` that was given to `take_token`.
    decision m_decision;
};

} // namespace chivevane::limits
