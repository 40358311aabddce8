// An in-memory stand-in for the platform's store, with compare-and-swap, leases and watches.
// Control requests make it slow or unavailable, or make it drop the answers of writes that it has
// applied:
//   POST /control {"mode":"up|away|lose_answers","delay_ms":N}
//   POST /control/expire-leases
//   GET  /control/calls

#include "libhttp/http_server.h"
#include "libstore/store_json.h"
#include "libstore/store_model.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <list>
#include <nlohmann/json.hpp>

DEFINE_string(ip, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 7000, "TCP port to listen on");

namespace {

using namespace chivevane;
using nlohmann::json;

constexpr duration watch_poll_interval = 5ms;

/// How the stand-in handles calls: it answers, aborts all calls, or applies writes without
/// answering.
enum class behaviour : std::uint8_t { up, unavailable, lose_answers };

/// A watch that waits for a change.
struct pending_watch {
    std::uint64_t m_exchange;
    store_watch m_operation;
    instant m_expires_at;
};

instant current_time()
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

class store_standin {
public:
    explicit store_standin(asio::io_context& loop)
        : m_loop(loop),
          m_server(loop, options(),
                   {[this](const received_request& request) { on_request(request); },
                    [this](std::uint64_t exchange) { remove_watch(exchange); }},
                   m_last_exchange),
          m_poll_timer(loop)
    {
        m_server.open();
        poll_watches();
    }

    void close()
    {
        m_poll_timer.cancel();
        m_server.close();
    }

private:
    static http_server_options options()
    {
        http_server_options chosen;
        chosen.m_ip = FLAGS_ip;
        chosen.m_port = static_cast<std::uint16_t>(FLAGS_port);
        return chosen;
    }

    void on_request(const received_request& request)
    {
        if (request.m_head.m_target.starts_with("/control")) {
            on_control(request);
            return;
        }
        ++m_calls;
        if (m_behaviour == behaviour::unavailable) {
            m_server.abort(request.m_exchange);
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_loop, m_delay);
        timer->async_wait([this, timer, request](const asio::error_code&) { run(request); });
    }

    void run(const received_request& request)
    {
        const auto operation = decode_store_operation(request.m_head.m_target, *request.m_body);
        if (is_error(operation)) {
            m_server.respond(request.m_exchange, {400, {}}, describe(error_of(operation)));
            return;
        }
        const auto outcome = apply_store_operation(m_store, value_of(operation), current_time());
        const bool is_write = std::holds_alternative<store_compare_and_swap>(value_of(operation));
        if (is_write && m_behaviour == behaviour::lose_answers) {
            m_server.abort(request.m_exchange);
            return;
        }
        const auto* const watch = std::get_if<store_watch>(&value_of(operation));
        const auto* const entries = std::get_if<store_entries>(&outcome);
        if (watch != nullptr && entries != nullptr && entries->m_entries.empty()) {
            m_watches.push_back({request.m_exchange, *watch, current_time() + watch->m_timeout});
            return;
        }
        answer(request.m_exchange, outcome);
    }

    void answer(std::uint64_t exchange, const store_outcome& outcome)
    {
        const auto encoded = encode_store_outcome(outcome);
        m_server.respond(exchange, {encoded.m_status, {{"Content-Type", "application/json"}}},
                         encoded.m_body);
    }

    void on_control(const received_request& request)
    {
        if (request.m_head.m_target == "/control/calls") {
            m_server.respond(request.m_exchange, {200, {}}, json{{"calls", m_calls}}.dump());
            return;
        }
        if (request.m_head.m_target == "/control/expire-leases") {
            expire_leases(m_store, instant::max());
            m_server.respond(request.m_exchange, {200, {}}, "{}");
            return;
        }
        const auto command = json::parse(*request.m_body, nullptr, false);
        if (!command.is_object()) {
            m_server.respond(request.m_exchange, {400, {}}, "send a JSON object");
            return;
        }
        const auto mode = command.value("mode", "up");
        m_behaviour = mode == "away"           ? behaviour::unavailable
                      : mode == "lose_answers" ? behaviour::lose_answers
                                               : behaviour::up;
        m_delay = std::chrono::milliseconds{command.value("delay_ms", 0)};
        if (m_behaviour == behaviour::unavailable) {
            abort_watches();
        }
        m_server.respond(request.m_exchange, {200, {}}, "{}");
    }

    void abort_watches()
    {
        for (const auto& watch : m_watches) {
            m_server.abort(watch.m_exchange);
        }
        m_watches.clear();
    }

    void remove_watch(std::uint64_t exchange)
    {
        m_watches.remove_if(
            [exchange](const pending_watch& watch) { return watch.m_exchange == exchange; });
    }

    void poll_watches()
    {
        m_poll_timer.expires_after(watch_poll_interval);
        m_poll_timer.async_wait([this](const asio::error_code& problem) {
            if (!problem) {
                answer_watches();
                poll_watches();
            }
        });
    }

    void answer_watches()
    {
        const auto now = current_time();
        for (auto watch = m_watches.begin(); watch != m_watches.end();) {
            const auto outcome = apply_store_operation(m_store, watch->m_operation, now);
            const auto& entries = std::get<store_entries>(outcome).m_entries;
            if (entries.empty() && watch->m_expires_at > now) {
                ++watch;
                continue;
            }
            answer(watch->m_exchange, outcome);
            watch = m_watches.erase(watch);
        }
    }

    asio::io_context& m_loop;
    std::uint64_t m_last_exchange = 0;
    store_model m_store;
    behaviour m_behaviour = behaviour::up;
    duration m_delay{};
    std::uint64_t m_calls = 0;
    std::list<pending_watch> m_watches;
    http_server m_server;
    asio::steady_timer m_poll_timer;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    asio::io_context loop;
    store_standin standin{loop};
    asio::signal_set signals{loop, SIGINT, SIGTERM};
    signals.async_wait([&](const asio::error_code&, int) {
        standin.close();
        loop.stop();
    });
    loop.run();
    return 0;
}
