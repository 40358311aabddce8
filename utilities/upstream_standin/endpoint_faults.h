#pragma once

#include "libwire/upstream_summary.h"

#include <string_view>

namespace chivevane {

/// Faults that a control request injects into an upstream.
struct endpoint_faults {
    double m_slow_factor = 1;    ///< Multiplies the service time.
    double m_error_share = 0;    ///< Share of the requests that get a 500 answer, 0 to 1.
    double m_stuck_share = 0;    ///< Share of the requests that get no answer, 0 to 1.
    double m_truncate_share = 0; ///< Share of the answers that are truncated, 0 to 1.
    double m_wrong_share = 0;    ///< Share of the answers with a wrong request id, 0 to 1.
    upstream_phase m_phase = upstream_phase::serving;
    bool m_is_silent = false; ///< The upstream neither answers nor announces itself.
};

/// Parses {"slow":5,"errors":0.1,"stuck":0,"truncate":0,"wrong":0,"draining":false,"silent":false};
/// a field that is left out has the value of a healthy upstream. Throws std::exception on invalid
/// input.
endpoint_faults parse_faults(std::string_view body);

} // namespace chivevane
