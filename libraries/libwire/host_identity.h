#pragma once

#include <cstdint>
#include <string>

namespace chivevane {

/// Identifies one process on a host. The incarnation number increases each time a process starts
/// under the same host name.
struct host_identity {
    std::string m_name;
    std::uint64_t m_incarnation = 0;

    auto operator<=>(const host_identity&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_name, m_incarnation);
    }
};

} // namespace chivevane
