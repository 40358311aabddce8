#pragma once

#include "endpoint_faults.h"
#include "endpoint_options.h"
#include "libbase/random_engine.h"
#include "libhttp/http_client.h"
#include "libhttp/http_server.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace chivevane {

/// Simulates one upstream that announces itself, serves requests and injects faults:
///   POST /control         sets faults (see parse_faults)
///   GET  /control/runs    number of executions of each POST body, as a JSON object
///   GET  /download/N      N bytes, the same on every upstream, with ETag and ranges
///   anything else         a short text that names the endpoint and the target
class standin_endpoint {
public:
    standin_endpoint(asio::io_context& loop, http_client& client, endpoint_options options,
                     std::uint64_t& last_exchange, std::uint64_t seed);

    void close();

private:
    void announce();
    void announce_later();
    void on_request(const received_request& request);
    void on_control(const received_request& request);
    void serve(const received_request& request);
    void answer(const received_request& request);
    void answer_download(const received_request& request);
    void answer_short(const received_request& request);
    void write_download(std::uint64_t exchange, std::uint64_t from, std::uint64_t to);
    response_head answer_head(const received_request& request, std::uint16_t status);
    duration next_service_time();
    std::uint32_t concurrency_capacity() const;
    bool is_fault_drawn(double share);

    asio::io_context& m_loop;
    http_client& m_client;
    endpoint_options m_options;
    endpoint_faults m_faults;
    random_engine m_random;
    std::uint64_t m_run_id;
    std::uint32_t m_running = 0;
    std::uint64_t m_served = 0;
    std::map<std::string, std::uint64_t> m_run_counts; ///< Number of executions of each POST body.
    http_server m_server;
    asio::steady_timer m_announce_timer;
};

} // namespace chivevane
