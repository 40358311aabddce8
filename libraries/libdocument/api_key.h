#pragma once

#include <string>

namespace chivevane {

/// An API key of an organisation. Documents hold only the digest of the key, never the key itself.
struct api_key {
    std::string m_name;
    std::string m_digest; ///< The SHA-256 digest of the key in lower-case hexadecimal.

    bool operator==(const api_key&) const = default;
};

} // namespace chivevane
