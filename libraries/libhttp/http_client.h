#pragma once

#include "libhttp/outgoing_request.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>

namespace chivevane {

/// Sends HTTP/1.1 requests with libcurl's multi-socket interface on an Asio loop.
class http_client : public request_sender {
public:
    explicit http_client(asio::io_context& loop);
    ~http_client() override;

    /// Returns a new transfer id for callers that don't number their transfers themselves. These
    /// ids begin above 2^63.
    std::uint64_t make_transfer_id();

    void start(std::uint64_t transfer, outgoing_request request,
               transfer_handlers handlers) override;
    void cancel(std::uint64_t transfer) override;
    void resume(std::uint64_t transfer) override;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chivevane
