#pragma once

#include "libbase/instant.h"

#include <string>

namespace chivevane {

/// A question for its health that an upstream has not answered yet.
struct health_check {
    std::string m_endpoint;
    instant m_sent_at;
};

} // namespace chivevane
