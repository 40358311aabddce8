#pragma once

#include "libhttp/outgoing_request.h"

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace chivevane {

/// The counters of a traffic client since it was created.
struct traffic_client_counters {
    std::uint64_t m_connections_opened = 0;
    std::uint64_t m_requests_sent = 0;
};

/// An HTTP/1.1 client with persistent connections, which sends requests to hosts and upstreams on
/// an Asio loop.
///
/// A request is written on one connection only. An answer counts as complete only if its framing
/// says so or, without a length, if the connection was closed in an orderly way. A connection is
/// reused only if the request was written completely, the answer is complete and no bytes follow
/// it.
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
