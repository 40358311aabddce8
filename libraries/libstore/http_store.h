#pragma once

#include "libhttp/http_client.h"
#include "libwire/store_operation.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chivevane {

/// One address of the platform's store.
struct store_address {
    std::string m_ip;
    std::uint16_t m_port = 0;

    bool operator==(const store_address&) const = default;
};

/// The platform's store over HTTP and JSON.
class http_store {
public:
    /// `addresses` are tried in turn, one for each call; the next one after a failure.
    http_store(http_client& client, std::vector<store_address> addresses);

    /// Runs an operation; `on_outcome` is called once, with a `store_failure` when no answer comes
    /// within the time limit. Calls are counted.
    void run(const store_operation& operation, std::function<void(store_outcome)> on_outcome);

    /// Calls made since the start.
    std::uint64_t calls() const { return m_calls; }

private:
    http_client& m_client;
    std::vector<store_address> m_addresses;
    std::size_t m_current = 0; ///< Index of the address in use.
    std::uint64_t m_calls = 0;
};

} // namespace chivevane
