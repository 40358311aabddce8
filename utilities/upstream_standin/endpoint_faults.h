#pragma once

#include "libwire/upstream_summary.h"

#include <string_view>

namespace chivevane {

/// What is wrong with an upstream, set on command.
struct endpoint_faults {
    double m_slow_factor = 1;    ///< Multiplies the service time.
    double m_error_share = 0;    ///< Of the requests, answered with 500.
    double m_stuck_share = 0;    ///< Of the requests, never answered.
    double m_truncate_share = 0; ///< Of the answers, cut in the middle.
    double m_wrong_share = 0;    ///< Of the answers, with the id of another request.
    upstream_phase m_phase = upstream_phase::serving;
    bool m_is_silent = false; ///< Neither answers nor announces itself.
};

/// Reads {"slow":5,"errors":0.1,"stuck":0,"truncate":0,"wrong":0,"draining":false,"silent":false};
/// what is left out is as in a healthy upstream. Throws std::exception on a fault.
endpoint_faults parse_faults(std::string_view body);

} // namespace chivevane
