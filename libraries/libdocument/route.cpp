#include "libdocument/route.h"

#include <algorithm>

namespace chivevane {

bool names_service(const route& candidate, std::string_view service)
{
    return candidate.m_service == service ||
           std::any_of(candidate.m_targets.begin(), candidate.m_targets.end(),
                       [service](const route_target& each) { return each.m_service == service; });
}

} // namespace chivevane
