#pragma once

#include <string>

namespace chivevane {

/// Identifies an upstream: an endpoint behind the gate of a host.
struct upstream_id {
    std::string m_host;
    std::string m_endpoint;

    auto operator<=>(const upstream_id&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_host, m_endpoint);
    }
};

} // namespace chivevane
