#pragma once

#include <string>

namespace chivevane {

/// A key of an organisation. Only its digest is kept.
struct api_key {
    std::string m_name;
    std::string m_digest; ///< SHA-256 of the key in lower-case hexadecimal form.

    bool operator==(const api_key&) const = default;
};

} // namespace chivevane
