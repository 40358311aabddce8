#pragma once

#include "libhttp/outgoing_request.h"

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace chivevane {

/// Counts of a traffic client since its start.
struct traffic_client_counters {
    std::uint64_t m_connections_opened = 0;
    std::uint64_t m_requests_sent = 0;
};

/// Sends requests to hosts and upstreams: HTTP/1.1 on an Asio loop over kept connections.
///
/// A request is written on one connection only. An answer counts as whole only when its framing
/// says so, or, without a length, when the connection was closed in order. A connection is used
/// again only after a whole answer to a request that was written whole, with nothing behind it.
class traffic_client : public request_sender {
public:
    explicit traffic_client(asio::io_context& loop);
    ~traffic_client() override;

    void start(std::uint64_t transfer, outgoing_request request,
               transfer_handlers handlers) override;
    void cancel(std::uint64_t transfer) override;
    void resume(std::uint64_t transfer) override;

    const traffic_client_counters& counters() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace chivevane
