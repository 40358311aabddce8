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

/// What became of a connection when its transfer ended.
enum class connection_fate : std::uint8_t { reusable, closed };

/// What a connection needs of its client.
struct outgoing_connection_host {
    std::function<void(outgoing_connection&, connection_fate)> m_on_free; ///< Its transfer ended.
    std::function<void(outgoing_connection&)> m_on_idle_end; ///< Closed while nothing was sent.
};

/// One connection of a `traffic_client`; carries one transfer at a time.
class outgoing_connection : public std::enable_shared_from_this<outgoing_connection> {
public:
    outgoing_connection(const asio::any_io_executor& executor,
                        const outgoing_connection_host& host);

    /// Opens the connection, then sends the request.
    void open(std::uint64_t transfer, outgoing_request request, transfer_handlers handlers);

    /// Sends a request on a connection that is idle.
    void send(std::uint64_t transfer, outgoing_request request, transfer_handlers handlers);

    void resume();

    /// Closes at once and tells nobody.
    void close();

    std::uint64_t transfer() const { return m_transfer; }
    const std::string& pool() const { return m_pool; }
    instant idle_since() const { return m_idle_since; }

    /// When an idle connection should not be used any more, as the other side may close it.
    instant usable_until() const { return m_usable_until; }

private:
    void adopt(std::uint64_t transfer, outgoing_request request, transfer_handlers handlers);
    void write_request();
    void read();
    void on_read(const asio::error_code& problem, std::size_t size);
    void take_input();
    bool report_head();
    bool deliver_body();
    void on_end_of_stream(bool is_orderly);
    void finish_if_complete();
    void fail(transfer_end end, std::string detail);
    void end(transfer_end end, std::string detail, connection_fate fate);
    void watch_stall();
    void note_keep_alive();

    const outgoing_connection_host& m_host;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::array<char, 16 * 1024> m_buffer{};
    std::string m_input;
    std::string m_pool;           ///< ip:port.
    std::uint64_t m_transfer = 0; ///< 0 while idle.
    outgoing_request m_request;
    transfer_handlers m_handlers;
    std::string m_head_text;
    std::optional<message_parser<response_head>> m_parser;
    std::string m_body; ///< Read and not taken by the reader yet.
    bool m_is_open = false;
    bool m_is_closed = false;
    bool m_is_reading = false;
    bool m_is_paused = false;
    bool m_has_reported_head = false;
    bool m_is_request_written = false;
    bool m_has_written_any = false;
    std::uint64_t m_epoch = 0; ///< Counts transfers; late callbacks of earlier ones are ignored.
    instant m_last_progress;
    instant m_idle_since;
    instant m_usable_until;
    duration m_keep_alive{}; ///< As the other side told; zero if it did not.
};

} // namespace chivevane
