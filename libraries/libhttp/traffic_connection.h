#pragma once

#include "libbase/instant.h"
#include "libhttp/message_parser.h"
#include "libhttp/message_text.h"
#include "libhttp/received_request.h"
#include "libwire/response_head.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace chivevane {

struct traffic_server_options;
class traffic_connection;

/// What a connection needs of its server.
struct traffic_connection_host {
    const traffic_server_options& m_options;
    const bool& m_is_closing; ///< Answers announce that their connection will be closed.
    std::function<std::uint64_t(traffic_connection&)> m_on_opened_exchange; ///< Gives it an id.
    std::function<void(received_request)> m_on_request;
    std::function<void(std::uint64_t)> m_on_gone;
    std::function<void(std::uint64_t)> m_on_forgotten; ///< The exchange ended.
    std::function<void(traffic_connection&)> m_on_closed;
};

/// One connection of a `traffic_server`: reads requests, writes their answers in order.
class traffic_connection : public std::enable_shared_from_this<traffic_connection> {
public:
    traffic_connection(asio::ip::tcp::socket socket, const traffic_connection_host& host);

    void start();

    /// Closes at once; pending exchanges are reported as gone.
    void close_now();

    /// Closes if no request is under way.
    void close_if_idle();

    void respond(std::uint64_t exchange, const response_head& head, std::string body);
    void begin(std::uint64_t exchange, const response_head& head);
    void write(std::uint64_t exchange, std::string part, std::function<void(bool)> on_written);
    void finish(std::uint64_t exchange);
    void abort(std::uint64_t exchange);

private:
    /// Bytes to be written, and whom to tell.
    struct output_part {
        std::string m_bytes;
        std::function<void(bool)> m_on_written;
    };

    /// One request and what was given of its answer.
    struct exchange_slot {
        std::uint64_t m_id = 0; ///< 0 for an answer that the connection gives by itself.
        std::string m_method;
        connection_use m_use = connection_use::keep;
        body_framing m_framing = body_framing::none;
        std::deque<output_part> m_output;
        bool m_is_finished = false;
        bool m_is_aborted = false; ///< Close the connection in place of going on.
    };

    void read();
    void on_read(std::size_t size);
    void on_read_end();
    void process_input();
    bool may_hand_on() const;
    void hand_on();
    void refuse(parse_fault fault);
    void refuse_slow_request();
    void add_own_answer(std::uint16_t status, std::string_view problem, std::string_view title);
    exchange_slot* find(std::uint64_t exchange);
    void end_slot(exchange_slot& slot);
    void pump();
    bool write_front();
    void close_in_order();
    void drain_then_close();
    void set_timer();
    void on_timer();
    bool is_idle() const;

    asio::ip::tcp::socket m_socket;
    const traffic_connection_host& m_host;
    asio::steady_timer m_timer;
    message_parser<request_head> m_parser;
    std::array<char, 16 * 1024> m_buffer{};
    std::string m_input;
    std::deque<exchange_slot> m_slots;
    std::deque<output_part> m_writing;
    std::string m_body;
    bool m_is_reading = false;
    bool m_is_closed = false;
    bool m_is_ending = false; ///< Nothing more is read as requests.
    bool m_has_seen_end = false;
    bool m_is_awaiting_rest = false; ///< A request has begun and is not complete.
    std::uint64_t m_timer_epoch = 0;
    instant m_request_began_at;
};

} // namespace chivevane
