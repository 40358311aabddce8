#pragma once

#include "libbase/instant.h"
#include "libhttp/answer_writer.h"
#include "libhttp/connection_limit.h"
#include "libhttp/memory_budget.h"
#include "libhttp/message_parser.h"
#include "libhttp/message_text.h"
#include "libhttp/received_request.h"
#include "libwire/response_head.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

struct traffic_server_options;
class traffic_connection;

/// The settings and callbacks that a connection uses of its server.
struct traffic_connection_context {
    const traffic_server_options& m_options;
    const bool& m_is_closing; ///< Whether the server announces the end of its connections.
    /// Registers a new exchange of the connection and returns its id.
    std::function<std::uint64_t(traffic_connection&)> m_open_exchange;
    std::function<void(received_request)> m_on_request;
    /// Called when the connection ends before the answer of an exchange is complete.
    std::function<void(std::uint64_t)> m_on_disconnect;
    /// Called when the exchange has ended for any reason, so that its id is not used any more.
    std::function<void(std::uint64_t)> m_on_exchange_end;
    std::function<void(traffic_connection&)> m_on_closed;
    /// Whether a connection that awaits an answer may start another request now.
    std::function<bool()> m_may_pipeline;
};

/// One connection of a `traffic_server`. It reads requests and writes their answers in order.
class traffic_connection : public answer_reader,
                           public std::enable_shared_from_this<traffic_connection> {
public:
    traffic_connection(asio::ip::tcp::socket socket, const traffic_connection_context& context);

    void start();

    /// Closes the connection at once. Its unfinished exchanges are reported as disconnected.
    void close_now();

    /// Closes the connection if no request is in progress.
    void close_if_idle();

    /// Closes the connection if the peer has closed it and all that it sent before was read.
    /// Returns whether the connection is closed.
    bool close_if_left();

    /// Returns what the connection is doing, for the choice of a connection to close.
    connection_activity activity() const;

    std::optional<instant> waiting_since() const override;
    void close_soon() override;

    void respond(std::uint64_t exchange, const response_head& head, std::string body);
    void begin(std::uint64_t exchange, const response_head& head);
    void write(std::uint64_t exchange, std::string part, std::function<void(bool)> on_written);
    void finish(std::uint64_t exchange);
    void abort(std::uint64_t exchange);

private:
    /// Bytes to be written, with the callback to call afterwards.
    struct output_part {
        std::string m_bytes;
        std::function<void(bool)> m_on_written;
    };

    /// The unwritten answer of one request.
    struct pending_answer {
        std::uint64_t m_id = 0; ///< The exchange id; 0 if the connection itself answers.
        std::string m_method;
        connection_use m_use = connection_use::keep;
        body_framing m_framing = body_framing::none;
        std::deque<output_part> m_output;
        bool m_is_finished = false;
        bool m_is_aborted = false; ///< Whether to close the connection after the output.
    };

    void read();
    void read_available();
    void on_read(std::string_view bytes);
    void on_read_end();
    std::size_t input_allowance();
    void pause_reading();
    bool has_peer_closed() const;
    instant last_input() const;
    void process_input();
    bool store_body();
    bool reserve_body(std::size_t size);
    void evict_body();
    void release_request();
    bool can_dispatch() const;
    void dispatch_request();
    void refuse(parse_error failure);
    void refuse_slow_request();
    void refuse_for_memory(std::uint16_t status, std::string_view problem_type,
                           std::string_view title);
    void queue_error_answer(std::uint16_t status, std::string_view problem_type,
                            std::string_view title, std::vector<http_field> more_fields = {});
    pending_answer* find(std::uint64_t exchange);
    void end_answer(pending_answer& answer);
    void write_pending_answers();
    bool write_front_answer();
    void close_gracefully();
    void drain_then_close();
    void set_timer();
    void on_timer();
    bool is_idle() const;
    bool is_memory_limited() const;

    asio::ip::tcp::socket m_socket;
    const traffic_connection_context& m_context;
    asio::steady_timer m_timer;
    message_parser<request_head> m_parser;
    std::string m_input;
    memory_reservation m_input_memory; ///< For input beyond `unreserved_bytes`.
    std::deque<pending_answer> m_pending_answers;
    std::deque<output_part> m_writing;
    std::string m_body;
    memory_reservation m_body_memory; ///< For the body that is being received, with its head.
    asio::steady_timer m_pause_timer;
    instant m_last_input;  ///< When bytes last arrived.
    instant m_last_output; ///< When the peer last took bytes.
    bool m_is_reading = false;
    bool m_is_paused = false; ///< Whether reading waits for memory.
    bool m_is_closed = false;
    bool m_has_stopped_parsing = false; ///< Whether further input is discarded.
    bool m_has_read_end = false;
    bool m_is_receiving_request = false; ///< Whether part of a request was received.
    std::uint64_t m_timer_epoch = 0;
    instant m_request_began_at;
};

} // namespace chivevane
