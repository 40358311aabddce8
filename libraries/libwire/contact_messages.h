#pragma once

#include "libwire/host_address.h"

#include <cstdint>

namespace chivevane {

/// Asks a host to answer at once, to find out whether it is reachable.
struct contact_request {
    host_address m_address; ///< Address of the sender.

    bool operator==(const contact_request&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_address);
    }
};

/// Response to a `contact_request`.
struct contact_response {
    std::uint8_t m_reserved = 0; ///< 0; other values are ignored.

    bool operator==(const contact_response&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_reserved);
    }
};

} // namespace chivevane
