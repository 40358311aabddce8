#include "libbase/clock.h"
#include "libhost/host_process.h"
#include "libhost/listener_options.h"
#include "libhost/memory_event_log.h"
#include "libwire/attempt_metadata.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <list>
#include <sys/resource.h>

using namespace chivevane;

namespace {

constexpr const char* ip = "127.0.8.3";
constexpr std::uint16_t caller_port = 17620;
constexpr std::uint16_t readiness_port = 17625;
constexpr std::uint16_t metrics_port = 17626;

daemon_settings limited_settings()
{
    daemon_settings settings;
    auto& policy = settings.m_policy;
    policy.m_self.m_name = "marsh-1";
    policy.m_datacentre = "marsh";
    policy.m_address = {ip, 17622, 17621, caller_port, 17623};
    policy.m_shared_secret = "secret-between-hosts";
    settings.m_listen_ip = ip;
    settings.m_announce_port = 17624;
    settings.m_readiness_port = readiness_port;
    settings.m_metrics_port = metrics_port;
    settings.m_store_endpoints = {{ip, 17619}}; // No process listens on this port.
    settings.m_memory_limit_mb = 64;
    return settings;
}

/// Lowers the limit of open files while it lives.
struct lowered_file_limit {
    lowered_file_limit()
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        auto lowered = m_before;
        lowered.rlim_cur = 512;
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~lowered_file_limit() { setrlimit(RLIMIT_NOFILE, &m_before); }

    rlimit m_before{};
};

struct memory_limit_fixture {
    memory_limit_fixture() { m_process.open(); }

    asio::ip::tcp::socket& send(std::uint16_t port, const std::string& text)
    {
        auto& socket = m_sockets.emplace_back(m_loop);
        socket.connect({asio::ip::make_address(ip), port});
        asio::write(socket, asio::buffer(text));
        return socket;
    }

    /// Sends a request and returns what is received until the connection ends.
    std::string exchange(std::uint16_t port, const std::string& text)
    {
        auto& socket = send(port, text);
        std::string received;
        bool is_done = false;
        asio::async_read(socket, asio::dynamic_buffer(received),
                         [&](const asio::error_code&, std::size_t) { is_done = true; });
        constexpr auto timeout = 30s; // Only a faulty program takes this long.
        const auto deadline = current_time() + timeout;
        while (!is_done && current_time() < deadline) {
            m_loop.restart();
            m_loop.run_one_for(std::chrono::milliseconds{50});
        }
        BOOST_TEST(is_done);
        return received;
    }

    void run_for(duration length)
    {
        m_loop.restart();
        m_loop.run_for(length);
    }

    lowered_file_limit m_file_limit;
    asio::io_context m_loop{1};
    host_process m_process{m_loop, limited_settings()};
    std::list<asio::ip::tcp::socket> m_sockets;
};

const std::string readiness_request = "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(memory_limits, memory_limit_fixture)

// Guards against slow or oversized requests that keep the platform's readiness checks from being
// answered.
BOOST_AUTO_TEST_CASE(a_readiness_check_is_answered_beside_slow_senders)
{
    const auto limit = readiness_options(limited_settings(), open_file_limit()).m_max_connections;
    BOOST_TEST(limit == 42U);
    for (std::size_t count = 0; count < limit + 8; ++count) {
        send(readiness_port, "GET /ready HTTP/1.1\r\n");
    }
    run_for(50ms);
    BOOST_TEST(exchange(readiness_port, readiness_request).find("ready\n") != std::string::npos);
}

// Guards against bodies that are collected at listeners without a memory budget.
BOOST_AUTO_TEST_CASE(a_large_body_at_the_readiness_address_is_not_read)
{
    const auto head = "POST /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 8000000\r\n\r\n";
    auto& socket = send(readiness_port, head + std::string(100'000, 'x'));
    run_for(200ms);
    asio::error_code problem;
    char byte = 0;
    socket.non_blocking(true);
    socket.read_some(asio::buffer(&byte, 1), problem);
    BOOST_TEST(problem != asio::error::would_block); // The server has closed the connection.
}

// Guards against a budget that is not connected to the listeners and the metrics.
BOOST_AUTO_TEST_CASE(the_metrics_show_what_is_reserved_and_refused)
{
    send(caller_port, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n");
    run_for(50ms);
    auto metrics = exchange(metrics_port, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(metrics.find("\nchivevane_memory_budget_bytes 40000000\n") != std::string::npos);
    BOOST_TEST(metrics.find("\nchivevane_memory_reserved_bytes 1000000\n") != std::string::npos);
    for (int count = 0; count < 45; ++count) {
        send(caller_port, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n");
        run_for(1ms);
    }
    run_for(50ms);
    metrics = exchange(metrics_port, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(metrics.find("\nchivevane_memory_refused_bodies_total 6\n") != std::string::npos);
    m_sockets.clear();
    run_for(50ms);
    metrics = exchange(metrics_port, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(metrics.find("\nchivevane_memory_reserved_bytes 0\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(listener_limits)

// Guards against a deployment without a memory limit that is served in another way than before.
BOOST_AUTO_TEST_CASE(listeners_have_no_new_limits_without_a_memory_limit)
{
    auto settings = limited_settings();
    settings.m_memory_limit_mb = 0;
    settings.m_max_body_size = 5'000'000;
    const http_server_options defaults;
    BOOST_TEST(caller_options(settings, 512, nullptr).m_max_connections == 0U);
    BOOST_TEST(gate_options(settings, 512, nullptr).m_max_connections == 0U);
    BOOST_TEST(admin_options(settings).m_max_body_size == 5'000'000U);
    for (const auto& options : {admin_options(settings), announcement_options(settings, 512),
                                readiness_options(settings, 512), metrics_options(settings, 512)}) {
        BOOST_TEST(options.m_max_connections == defaults.m_max_connections);
        BOOST_TEST(options.m_max_body_size == 5'000'000U);
        BOOST_TEST(options.m_max_head_size == settings.m_max_head_size);
        BOOST_TEST(options.m_max_field_count == defaults.m_max_field_count);
        BOOST_TEST((options.m_idle_timeout == defaults.m_idle_timeout));
        BOOST_TEST(!options.m_closes_after_answer);
    }
}

// Guards against listeners that together accept more connections than there are descriptors.
BOOST_AUTO_TEST_CASE(connection_limits_leave_descriptors_for_upstreams)
{
    const auto settings = limited_settings();
    for (const std::size_t descriptors : {512, 4'100, 8'192}) {
        const auto callers = caller_options(settings, descriptors, nullptr).m_max_connections;
        const auto gate = gate_options(settings, descriptors, nullptr).m_max_connections;
        BOOST_TEST(callers == descriptors / 2);
        BOOST_TEST(gate == descriptors / 4);
        const auto others = admin_options(settings).m_max_connections +
                            announcement_options(settings, descriptors).m_max_connections +
                            readiness_options(settings, descriptors).m_max_connections +
                            metrics_options(settings, descriptors).m_max_connections;
        BOOST_TEST(callers + gate + others <= descriptors * 7 / 8);
    }
    BOOST_TEST(readiness_options(settings, 512).m_max_body_size == 4U * 1024);
    BOOST_TEST(announcement_options(settings, 512).m_max_body_size == 64U * 1024);
}

// Guards against an ingress that takes a gate's refusal for lack of memory for a lost answer.
BOOST_AUTO_TEST_CASE(a_refusal_of_the_gate_names_the_attempt_and_that_it_was_not_run)
{
    const auto make_fields = gate_options(limited_settings(), 512, nullptr).m_refusal_fields;
    const auto fields = make_fields({"POST", "/", {{std::string{attempt_field}, "a/1/2/0"}}});
    BOOST_TEST((find_field(fields, attempt_field) == "a/1/2/0"));
    BOOST_TEST((find_field(fields, execution_status_field) == "not-run"));
    BOOST_TEST((find_field(fields, reason_field) == "busy"));
    BOOST_TEST(make_fields({"POST", "/", {}}).empty());
}

// Guards against a flood of refusals that fills the log.
BOOST_AUTO_TEST_CASE(a_kind_of_memory_event_is_logged_once_in_a_second_with_its_count)
{
    memory_event_log log;
    const instant now = instant{} + 100s;
    BOOST_TEST(count_memory_event(log, memory_event::body_refused, now) == 1U);
    for (int count = 0; count < 50; ++count) {
        BOOST_TEST(count_memory_event(log, memory_event::body_refused, now + 500ms) == 0U);
    }
    BOOST_TEST(count_memory_event(log, memory_event::reader_closed, now + 500ms) == 1U);
    BOOST_TEST(count_memory_event(log, memory_event::body_refused, now + 1s) == 51U);
}

// Guards against an upstream with very many slots whose connections take all descriptors.
BOOST_AUTO_TEST_CASE(slots_of_an_upstream_leave_descriptors_for_others)
{
    daemon_settings settings;
    BOOST_TEST(max_upstream_slots(settings, 512) == std::numeric_limits<std::uint32_t>::max());
    settings.m_memory_limit_mb = 64;
    BOOST_TEST(max_upstream_slots(settings, 512) == 32U);
    BOOST_TEST(max_upstream_slots(settings, 4'100) == 256U);
}

BOOST_AUTO_TEST_SUITE_END()
