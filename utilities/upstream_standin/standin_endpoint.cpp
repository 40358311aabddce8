#include "standin_endpoint.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace chivevane {

namespace {

using nlohmann::json;

constexpr duration announce_interval = 1s;
constexpr std::uint64_t download_part_size = 64 * 1024;
constexpr std::string_view download_prefix = "/download/";

http_server_options listener_options(const endpoint_options& options)
{
    http_server_options listener;
    listener.m_ip = options.m_ip;
    listener.m_port = options.m_port;
    return listener;
}

/// Returns the byte at `offset` of a download, which is the same on all upstreams.
char download_byte(std::uint64_t offset)
{
    return static_cast<char>(offset * 31 + (offset >> 12));
}

std::string download_part(std::uint64_t from, std::uint64_t to)
{
    std::string part(to - from, '\0');
    for (auto offset = from; offset < to; ++offset) {
        part[offset - from] = download_byte(offset);
    }
    return part;
}

std::uint64_t parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// Returns the first byte that `Range: bytes=N-` requests, or 0 without this field.
std::uint64_t range_start(const request_head& head)
{
    constexpr std::string_view unit = "bytes=";
    const auto range = find_field(head.m_fields, "Range").value_or("");
    return range.starts_with(unit) ? parse_number(range.substr(unit.size())) : 0;
}

} // namespace

standin_endpoint::standin_endpoint(asio::io_context& loop, http_client& client,
                                   endpoint_options options, std::uint64_t& last_exchange,
                                   std::uint64_t seed)
    : m_loop(loop),
      m_client(client),
      m_options(std::move(options)),
      m_random(seed),
      m_run_id(seed),
      m_server(
          loop, listener_options(m_options),
          {[this](const received_request& request) { on_request(request); }, [](std::uint64_t) {}},
          last_exchange),
      m_announce_timer(loop)
{
    m_server.open();
    announce();
}

void standin_endpoint::close()
{
    m_announce_timer.cancel();
    m_server.close();
}

void standin_endpoint::announce()
{
    if (!m_faults.m_is_silent) {
        const bool is_warm = m_served >= m_options.m_warm_after;
        const json announcement{
            {"endpoint", m_options.m_endpoint},
            {"service", m_options.m_service},
            {"ip", m_options.m_ip},
            {"port", m_options.m_port},
            {"slots", m_options.m_slots},
            {"warmth", is_warm ? "warm" : "cold"},
            {"phase", m_faults.m_phase == upstream_phase::draining ? "draining" : "serving"},
            {"run", m_run_id},
            {"time_to_live_ms", 3000}};
        outgoing_request request;
        request.m_ip = m_options.m_ip;
        request.m_port = m_options.m_announce_port;
        request.m_head = {"POST", "/announce", {{"Content-Type", "application/json"}}};
        request.m_body = std::make_shared<const std::string>(announcement.dump());
        request.m_total_timeout = announce_interval;
        transfer_handlers handlers;
        handlers.m_on_head = [](const response_head&) {};
        handlers.m_on_body = [](std::string_view) { return body_flow::ready; };
        handlers.m_on_end = [](transfer_end, const std::string&) {};
        m_client.start(m_client.make_transfer_id(), std::move(request), std::move(handlers));
    }
    announce_later();
}

void standin_endpoint::announce_later()
{
    m_announce_timer.expires_after(announce_interval);
    m_announce_timer.async_wait([this](const asio::error_code& problem) {
        if (!problem) {
            announce();
        }
    });
}

void standin_endpoint::on_request(const received_request& request)
{
    if (request.m_head.m_target.starts_with("/control")) {
        on_control(request);
        return;
    }
    if (!m_faults.m_is_silent) {
        serve(request);
    }
}

void standin_endpoint::on_control(const received_request& request)
{
    if (request.m_head.m_target == "/control/runs") {
        m_server.respond(request.m_exchange, {200, {}}, json(m_run_counts).dump());
        return;
    }
    try {
        m_faults = parse_faults(*request.m_body);
        m_server.respond(request.m_exchange, {200, {}}, "{}");
        announce();
    }
    catch (const std::exception& problem) {
        m_server.respond(request.m_exchange, {400, {}}, problem.what());
    }
}

void standin_endpoint::serve(const received_request& request)
{
    // An overloaded upstream refuses requests at four times its number of slots.
    if (m_running >= 4 * m_options.m_slots) {
        m_server.respond(request.m_exchange, {503, {{"Retry-After", "1"}}}, {});
        return;
    }
    if (request.m_head.m_method == "POST") {
        ++m_run_counts[*request.m_body];
    }
    if (is_fault_drawn(m_faults.m_stuck_share)) {
        return;
    }
    ++m_running;
    auto timer = std::make_shared<asio::steady_timer>(m_loop, next_service_time());
    timer->async_wait([this, timer, request](const asio::error_code&) {
        --m_running;
        ++m_served;
        answer(request);
    });
}

void standin_endpoint::answer(const received_request& request)
{
    if (is_fault_drawn(m_faults.m_error_share)) {
        m_server.respond(request.m_exchange, answer_head(request, 500),
                         fmt::format("endpoint={} out of order\n", m_options.m_endpoint));
    }
    else if (request.m_head.m_target.starts_with(download_prefix) ||
             request.m_head.m_target.find(download_prefix) != std::string::npos) {
        answer_download(request);
    }
    else {
        answer_short(request);
    }
}

void standin_endpoint::answer_short(const received_request& request)
{
    auto body = fmt::format("endpoint={} method={} target={}\n", m_options.m_endpoint,
                            request.m_head.m_method, request.m_head.m_target);
    auto head = answer_head(request, 200);
    if (!is_fault_drawn(m_faults.m_truncate_share)) {
        m_server.respond(request.m_exchange, head, std::move(body));
        return;
    }
    head.m_fields.push_back({"Content-Length", std::to_string(body.size())});
    m_server.begin(request.m_exchange, head);
    m_server.write(request.m_exchange, body.substr(0, body.size() / 2),
                   [this, exchange = request.m_exchange](bool) { m_server.abort(exchange); });
}

void standin_endpoint::answer_download(const received_request& request)
{
    const std::string_view target = request.m_head.m_target;
    const auto size =
        parse_number(target.substr(target.find(download_prefix) + download_prefix.size()));
    const auto from = std::min(range_start(request.m_head), size);
    auto head = answer_head(request, from > 0 ? 206 : 200);
    head.m_fields.push_back({"ETag", fmt::format("\"download-{}\"", size)});
    head.m_fields.push_back({"Content-Length", std::to_string(size - from)});
    if (from > 0) {
        head.m_fields.push_back(
            {"Content-Range", fmt::format("bytes {}-{}/{}", from, size - 1, size)});
    }
    m_server.begin(request.m_exchange, head);
    write_download(request.m_exchange, from, size);
}

void standin_endpoint::write_download(std::uint64_t exchange, std::uint64_t from, std::uint64_t to)
{
    if (from >= to) {
        m_server.finish(exchange);
        return;
    }
    if (is_fault_drawn(m_faults.m_truncate_share / 16)) {
        m_server.abort(exchange);
        return;
    }
    const auto end = std::min(to, from + download_part_size);
    m_server.write(exchange, download_part(from, end), [this, exchange, end, to](bool is_written) {
        if (is_written) {
            write_download(exchange, end, to);
        }
    });
}

response_head standin_endpoint::answer_head(const received_request& request, std::uint16_t status)
{
    response_head head{status, {{"Content-Type", "text/plain"}}};
    if (const auto id = find_field(request.m_head.m_fields, "X-Request-Id")) {
        head.m_fields.push_back({"X-Request-Id", is_fault_drawn(m_faults.m_wrong_share)
                                                     ? std::string{"another"}
                                                     : std::string{*id}});
    }
    return head;
}

/// Returns a random, heavy-tailed time around the configured service time; it grows with the square
/// of the overload above the upstream's concurrency capacity.
duration standin_endpoint::next_service_time()
{
    const double overload = std::max(1.0, static_cast<double>(m_running) / concurrency_capacity());
    const double tail = std::exp(0.5 * (uniform_fraction(m_random) + uniform_fraction(m_random) +
                                        uniform_fraction(m_random) - 1.5));
    const double base = static_cast<double>(m_options.m_service_time.count());
    return duration{
        static_cast<std::int64_t>(base * tail * m_faults.m_slow_factor * overload * overload)};
}

std::uint32_t standin_endpoint::concurrency_capacity() const
{
    if (m_served >= m_options.m_warm_after) {
        return m_options.m_slots;
    }
    const auto warm_up_capacity = 1 + m_served * m_options.m_slots / m_options.m_warm_after;
    return std::min(m_options.m_slots, static_cast<std::uint32_t>(warm_up_capacity));
}

bool standin_endpoint::is_fault_drawn(double share)
{
    return share > 0 && uniform_fraction(m_random) < share;
}

} // namespace chivevane
