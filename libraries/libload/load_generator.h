#pragma once

#include "libbase/random_engine.h"
#include "libhttp/http_client.h"
#include "libload/exact_bucket.h"
#include "libload/load_report.h"
#include "libload/load_stream.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <vector>

namespace chivevane {

/// Sends the requests of a plan as an open-loop load: each request is sent at its scheduled time
/// even if earlier responses are late, so that latencies include queueing. The load ends by itself.
class load_generator {
public:
    /// `on_sample` is called for each finished request with the index of its stream.
    load_generator(asio::io_context& loop, http_client& client, load_plan plan,
                   std::function<void(std::size_t, const load_sample&)> on_sample);

    /// Starts the load. The event loop runs out of work once all responses have arrived or timed
    /// out.
    void start();

private:
    /// The state of a stream during the load.
    struct stream_state {
        asio::steady_timer m_timer;
        instant m_next_at;
        exact_bucket m_reference_bucket;
    };

    void schedule(std::size_t index);
    void send(std::size_t index);
    const std::string& choose_target(const load_stream& stream, instant at);

    http_client& m_client;
    load_plan m_plan;
    std::function<void(std::size_t, const load_sample&)> m_on_sample;
    random_engine m_random;
    instant m_started_at;
    std::uint64_t m_last_request_number = 0;
    std::vector<stream_state> m_streams;
};

} // namespace chivevane
