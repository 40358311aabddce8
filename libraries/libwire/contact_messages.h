#pragma once

#include "libwire/host_address.h"

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

/// Response to a `contact_request`. That it comes is all it says.
struct contact_response {
    bool operator==(const contact_response&) const = default;

    template <typename Archive>
    void serialize(Archive&)
    {
    }
};

} // namespace chivevane
