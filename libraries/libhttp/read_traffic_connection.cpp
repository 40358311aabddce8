// This file implements how a `traffic_connection` reads, and how it draws on the memory budget for
// unparsed input and for the body that it receives.

#include "libbase/clock.h"
#include "libhttp/traffic_connection.h"
#include "libhttp/traffic_server.h"

#include <algorithm>
#include <array>
#include <poll.h>
#include <utility>

namespace chivevane {

namespace {

/// The connection goes on reading while a request runs, up to this many unparsed bytes, so that it
/// notices when the caller disconnects.
constexpr std::size_t max_buffered_input = 256 * 1024;

constexpr std::size_t read_size = 16 * 1024;

/// The number of reads after which the loop handles other connections first.
constexpr int max_reads_per_event = 4;

/// The interval at which a connection that waits for memory tries to read on, and looks whether its
/// peer has closed it.
constexpr duration pause_interval = 100ms;

/// A string that grows step by step may have twice the capacity of its size.
constexpr std::size_t growth_factor = 2;

/// The sizes by which the memory of a chunked body grows.
constexpr std::size_t small_body_step = 16 * 1024;
constexpr std::size_t large_body_step = 256 * 1024;

/// The copies of a head that a request in progress holds: those of the received request, the
/// exchange, the request of the ingress or attempt of the gate, and its transfer.
constexpr std::size_t head_copies = 4;

/// Returns the memory that a parsed head takes if it has very many fields, or 0 for other heads.
std::size_t memory_of_fields(const request_head& head)
{
    const auto size = head_copies * head.m_fields.size() * sizeof(http_field);
    return size > unreserved_bytes ? size : 0;
}

/// Returns the memory to reserve for a chunked body of which `size` bytes have arrived.
std::size_t chunked_body_memory(std::size_t size, std::size_t max_size)
{
    const auto step = size <= max_small_holder ? small_body_step : large_body_step;
    return std::min((size + step - 1) / step * step, std::max(max_size, size));
}

} // namespace

bool traffic_connection::is_memory_limited() const
{
    const auto& memory = m_context.m_options.m_memory;
    return memory && memory->is_limited();
}

void traffic_connection::read()
{
    if (m_is_reading || m_is_closed || m_has_read_end) {
        return;
    }
    if (input_allowance() == 0) {
        pause_reading();
        return;
    }
    m_is_reading = true;
    // Waiting without a buffer lets all connections share one, so that an idle connection holds
    // no memory for its input.
    m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](const asio::error_code& problem) {
                            self->m_is_reading = false;
                            if (self->m_is_closed) {
                                return;
                            }
                            if (problem) {
                                self->on_read_end();
                                return;
                            }
                            self->read_available();
                        });
}

void traffic_connection::read_available()
{
    static thread_local std::array<char, read_size> buffer;
    for (int reads = 0; reads < max_reads_per_event && !m_is_closed; ++reads) {
        const auto allowance = input_allowance();
        if (allowance == 0) {
            break;
        }
        asio::error_code problem;
        const auto size = m_socket.read_some(asio::buffer(buffer, allowance), problem);
        if (problem == asio::error::would_block || problem == asio::error::interrupted) {
            break;
        }
        if (problem) {
            on_read_end();
            return;
        }
        on_read({buffer.data(), size});
        if (size < allowance) {
            break;
        }
    }
    read();
}

void traffic_connection::on_read(std::string_view bytes)
{
    m_last_input = current_time();
    if (m_has_stopped_parsing) {
        m_input.clear(); // Bytes after the last accepted request belong to no request.
    }
    else {
        m_input += bytes;
        process_input();
    }
    if (m_input.empty() && is_memory_limited()) {
        std::string{}.swap(m_input); // Its capacity is counted only while it holds input.
    }
}

/// Handles the peer's close and read errors alike: nobody reads the pending answers any more.
void traffic_connection::on_read_end()
{
    m_has_read_end = true;
    close_now();
}

/// Returns how many bytes may be read now. Input beyond `unreserved_bytes` needs memory of the
/// budget; 0 means that there is none or that too much input is unparsed.
std::size_t traffic_connection::input_allowance()
{
    if (m_has_stopped_parsing) {
        return read_size; // The input is discarded.
    }
    if (m_input.size() > max_buffered_input) {
        return 0;
    }
    if (!is_memory_limited()) {
        return read_size;
    }
    if (m_input.empty()) {
        m_input_memory.reset();
    }
    auto quota = unreserved_bytes + m_input_memory.size() / growth_factor;
    if (m_input.size() >= quota &&
        m_input_memory.resize(m_input.size() * growth_factor, current_time())) {
        quota = unreserved_bytes + m_input.size();
    }
    return std::min(read_size, quota - std::min(quota, m_input.size()));
}

/// Waits until the input may be read. Without a budget, the next answer continues the reading.
void traffic_connection::pause_reading()
{
    if (!is_memory_limited() || std::exchange(m_is_paused, true)) {
        return;
    }
    m_pause_timer.expires_after(pause_interval);
    m_pause_timer.async_wait([self = shared_from_this()](const asio::error_code&) {
        self->m_is_paused = false;
        if (self->m_is_closed) {
            return;
        }
        if (self->has_peer_closed()) {
            self->on_read_end();
            return;
        }
        self->read();
    });
}

/// Returns whether the peer has closed the connection, also if unread input precedes the close.
bool traffic_connection::has_peer_closed() const
{
    // Only this connection's socket is polled, without waiting.
    pollfd state{const_cast<asio::ip::tcp::socket&>(m_socket).native_handle(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0;
}

/// Returns when bytes last arrived. Bytes that the system holds count as arrived now, so that a
/// peer does not seem to stall while the loop of this process is late. They do not while reading is
/// paused, as such a connection makes no progress whatever its peer sends.
instant traffic_connection::last_input() const
{
    asio::error_code problem;
    return !m_is_paused && m_socket.available(problem) > 0 ? current_time() : m_last_input;
}

/// Keeps the body bytes that were parsed. Returns false if the request was refused since there is
/// no memory for it.
bool traffic_connection::store_body()
{
    const auto state = m_parser.state();
    if (state != parse_state::in_body && state != parse_state::complete) {
        return true;
    }
    const auto part = m_parser.take_body();
    if (!reserve_body(m_body.size() + part.size())) {
        m_context.m_options.m_memory->record(memory_event::body_refused);
        refuse_for_memory(503, "memory-limit", "The host has no memory for the request now.");
        return false;
    }
    m_body += part;
    if (state == parse_state::complete) {
        m_body_memory.set_permanent();
    }
    return true;
}

/// Reserves the memory for a body of which `size` bytes have arrived, and capacity that does not
/// grow by doubling. A body with a length is reserved as a whole. Returns false if there is none.
bool traffic_connection::reserve_body(std::size_t size)
{
    if (!is_memory_limited()) {
        return true;
    }
    const auto max_size = m_context.m_options.m_limits.m_max_body_size;
    const auto length = m_parser.content_length();
    const auto body_memory =
        length ? static_cast<std::size_t>(*length) : chunked_body_memory(size, max_size);
    const auto needed = body_memory + memory_of_fields(m_parser.head());
    if (needed > m_body_memory.size()) {
        if (!m_body_memory.resize(needed, current_time())) {
            return false;
        }
        m_body_memory.set_evictable(
            eviction_kind::stalled_body, [this] { return last_input(); }, [this] { evict_body(); });
    }
    if (body_memory > m_body.capacity()) {
        // The system provides the pages of a large block only as they are written, so the whole
        // capacity of a chunked body can be allocated at once. Growing it step by step would leave
        // gaps in the heap that are not returned to the system.
        const bool is_large_chunked = !length && size > small_body_step;
        m_body.reserve(is_large_chunked ? std::max(body_memory, max_size) : body_memory);
    }
    return true;
}

/// Ends the request whose body is being received, so that its memory can be used by another one.
void traffic_connection::evict_body()
{
    const auto self = shared_from_this();
    refuse_for_memory(408, "request-timeout", "The request did not arrive in time.");
}

/// Releases the bytes and the memory of the request that is being received.
void traffic_connection::release_request()
{
    std::string{}.swap(m_input);
    std::string{}.swap(m_body);
    m_parser = message_parser<request_head>{m_context.m_options.m_limits};
    m_input_memory.reset();
    m_body_memory.reset();
}

void traffic_connection::refuse_for_memory(std::uint16_t status, std::string_view problem_type,
                                           std::string_view title)
{
    const auto& make_fields = m_context.m_options.m_refusal_fields;
    auto fields = make_fields ? make_fields(m_parser.head()) : std::vector<http_field>{};
    fields.push_back({"Retry-After", "1"});
    queue_error_answer(status, problem_type, title, std::move(fields));
}

} // namespace chivevane
