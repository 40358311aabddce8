#pragma once

#include "libbase/instant.h"

#include <string>

namespace chivevane {

/// Health check that the upstream has not answered yet.
struct health_check {
    std::string m_endpoint;
    instant m_sent_at;
};

} // namespace chivevane
