#pragma once

#include "libbase/instant.h"

#include <cstdint>
#include <variant>

namespace chivevane::limits {

/// The request may start.
struct granted {
    bool operator==(const granted&) const = default;
};

/// The organisation's rate is used up for now.
struct refused {
    duration m_retry_after{};
    bool operator==(const refused&) const = default;
};

/// The answer follows from `take_settled` within a few milliseconds, while a loan is asked for.
struct waiting {
    bool operator==(const waiting&) const = default;
};

using verdict = std::variant<granted, refused, waiting>;

/// A verdict that came late, for the request that was named by `m_ticket`.
struct settled_ticket {
    std::uint64_t m_ticket = 0;
    verdict m_verdict;
};

} // namespace chivevane::limits
