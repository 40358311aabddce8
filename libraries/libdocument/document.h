#pragma once

#include "libdocument/caller_limits.h"
#include "libdocument/organisation.h"
#include "libdocument/route.h"
#include "libdocument/service_policy.h"

#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

/// The configuration of one team. A document is written, checked and put in force as a whole.
struct document {
    std::string m_name;
    std::vector<organisation> m_organisations;
    std::vector<service_policy> m_services;
    std::vector<route> m_routes;
    std::vector<std::string> m_datacentres_out; ///< Data centres that get no new requests.
    caller_limits m_caller_limits;

    bool operator==(const document&) const = default;
};

} // namespace chivevane
