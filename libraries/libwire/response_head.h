#pragma once

#include "libwire/http_field.h"

#include <cstdint>
#include <vector>

namespace chivevane {

/// Status code and header fields of an HTTP response, without its body.
struct response_head {
    std::uint16_t m_status = 0;
    std::vector<http_field> m_fields;

    bool operator==(const response_head&) const = default;
};

} // namespace chivevane
