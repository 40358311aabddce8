#pragma once

#include <cstdint>
#include <string>

namespace chivevane {

/// One run of the process on a host. The incarnation grows with every start on the same name.
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
