#pragma once

#include "libbase/instant.h"
#include "libhttp/message_parser.h"
#include "libhttp/outgoing_request.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chivevane {

class outgoing_connection;

/// Whether a connection can be reused after its transfer ended.
enum class connection_disposition : std::uint8_t { reusable, closed };

/// The callbacks from a connection to the client that owns it.
struct outgoing_connection_callbacks {
    std::function<void(outgoing_connection&, connection_disposition)> m_on_transfer_end;
    /// Called when an idle connection was closed, because the peer closed it or sent bytes that
    /// belong to no request.
    std::function<void(outgoing_connection&)> m_on_idle_close;
};

/// One connection of a `traffic_client`. It carries one transfer at a time.
class outgoing_connection : public std::enable_shared_from_this<outgoing_connection> {
public:
    outgoing_connection(const asio::any_io_executor& executor,
                        const outgoing_connection_callbacks& callbacks);

    /// Opens the connection, then sends the request.
    void open(std::uint64_t transfer, outgoing_request request, transfer_handlers handlers);

    /// Sends a request on a connection that is idle.
    void send(std::uint64_t transfer, outgoing_request request, transfer_handlers handlers);

    void resume();

    /// Closes the connection at once without calling any handler or callback.
    void close();

    std::uint64_t transfer() const { return m_transfer; }
    const std::string& address() const { return m_address; }
    instant idle_since() const { return m_idle_since; }

    /// Returns the time from which an idle connection must not be reused, as the peer may close it.
    instant usable_until() const { return m_usable_until; }

private:
    void prepare_transfer(std::uint64_t transfer, outgoing_request request,
                          transfer_handlers handlers);
    void start_parsing();
    void write_request();
    void read();
    void on_read(const asio::error_code& problem, std::size_t size);
    void parse_input();
    bool report_head();
    bool deliver_body();
    void on_end_of_stream(bool is_orderly);
    void finish_if_complete();
    void fail(transfer_end end, std::string detail);
    void end(transfer_end end, std::string detail, connection_disposition disposition);
    void start_stall_timer();
    void record_keep_alive_timeout();

    const outgoing_connection_callbacks& m_callbacks;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::array<char, 16 * 1024> m_buffer{};
    std::string m_input;
    std::string m_address;        ///< The peer's address as ip:port.
    std::uint64_t m_transfer = 0; ///< The current transfer's id; 0 while the connection is idle.
    outgoing_request m_request;
    transfer_handlers m_handlers;
    std::string m_head_text;
    std::optional<message_parser<response_head>> m_parser;
    std::string m_body; ///< Body bytes that `m_on_body` has not accepted yet.
    bool m_is_open = false;
    bool m_is_closed = false;
    bool m_is_reading = false;
    bool m_is_paused = false;
    bool m_has_reported_head = false;
    bool m_is_request_written = false;
    bool m_has_written_any = false;
    /// Changes when a transfer begins or ends and when the connection closes, so that late
    /// callbacks of earlier operations are ignored.
    std::uint64_t m_epoch = 0;
    instant m_last_progress;
    instant m_idle_since;
    instant m_usable_until;
    duration m_keep_alive_timeout{}; ///< The timeout of the peer's Keep-Alive field; zero if none.
};

} // namespace chivevane
