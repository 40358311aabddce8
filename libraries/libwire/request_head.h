#pragma once

#include "libwire/http_field.h"

#include <string>
#include <vector>

namespace chivevane {

/// Method, target and header fields of an HTTP request, without its body.
struct request_head {
    std::string m_method;
    std::string m_target; ///< Request target in origin form: path and query.
    std::vector<http_field> m_fields;

    bool operator==(const request_head&) const = default;
};

} // namespace chivevane
