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

/// A client of the platform's store, which it calls over HTTP with JSON bodies.
class http_store {
public:
    /// Each call uses one of `addresses`. After a call without a complete response, later calls use
    /// the next one.
    http_store(http_client& client, std::vector<store_address> addresses);

    /// Runs an operation. `on_outcome` is called once, with a `store_failure` if no complete
    /// response arrives before the timeout.
    void run(const store_operation& operation, std::function<void(store_outcome)> on_outcome);

    /// Returns the number of calls since the start.
    std::uint64_t calls() const { return m_calls; }

private:
    http_client& m_client;
    std::vector<store_address> m_addresses;
    std::size_t m_current_address = 0; ///< An index into `m_addresses`.
    std::uint64_t m_calls = 0;
};

} // namespace chivevane
