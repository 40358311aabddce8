#pragma once

#include "libbase/instant.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace chivevane {

/// The answer of one peer to this process's request for recovery.
struct recovery_answer {
    std::set<std::uint16_t> m_parts; ///< Indices of the parts that have arrived.
    bool m_is_whole = false;         ///< Whether all parts of a recovered peer have arrived.
};

/// What a process that has started still lacks of the state that its peers keep.
struct recovery_state {
    instant m_started_at;
    instant m_next_request; ///< Peers are asked again then.
    duration m_request_interval{};
    std::map<std::string, recovery_answer, std::less<>> m_answers; ///< By host name.
    bool m_is_complete = false;
};

} // namespace chivevane
