#include "endpoint_faults.h"

#include <nlohmann/json.hpp>

namespace chivevane {

endpoint_faults parse_faults(std::string_view body)
{
    const auto object = nlohmann::json::parse(body);
    endpoint_faults faults;
    faults.m_slow_factor = object.value("slow", 1.0);
    faults.m_error_share = object.value("errors", 0.0);
    faults.m_stuck_share = object.value("stuck", 0.0);
    faults.m_truncate_share = object.value("truncate", 0.0);
    faults.m_wrong_share = object.value("wrong", 0.0);
    faults.m_phase =
        object.value("draining", false) ? upstream_phase::draining : upstream_phase::serving;
    faults.m_is_silent = object.value("silent", false);
    return faults;
}

} // namespace chivevane
