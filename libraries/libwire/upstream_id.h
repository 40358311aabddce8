#pragma once

#include <string>

namespace chivevane {

/// Names one endpoint behind the gate of one host.
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
