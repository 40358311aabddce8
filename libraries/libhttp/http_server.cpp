#include "libhttp/http_server.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <restinio/all.hpp>
#include <unordered_map>
#include <unordered_set>
#include <variant>

namespace chivevane {

namespace {

using chunked_builder = restinio::response_builder_t<restinio::chunked_output_t>;
using sized_builder = restinio::response_builder_t<restinio::user_controlled_output_t>;

/// An answer whose body is being written.
using open_answer = std::variant<std::monostate, chunked_builder, sized_builder>;

/// One request whose answer is not complete yet.
struct exchange {
    restinio::connection_id_t m_connection_id = 0;
    restinio::request_handle_t m_request;
    restinio::impl::connection_handle_t m_connection; ///< Used to close the connection early.
    open_answer m_answer;
};

/// Reports closed connections to the server.
class connection_listener {
public:
    explicit connection_listener(std::function<void(restinio::connection_id_t)> on_closed)
        : m_on_closed(std::move(on_closed))
    {
    }

    void state_changed(const restinio::connection_state::notice_t& notice) const noexcept
    {
        if (restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
            m_on_closed(notice.connection_id());
        }
    }

private:
    std::function<void(restinio::connection_id_t)> m_on_closed;
};

struct server_traits
    : restinio::single_thread_traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t,
                                       restinio::default_request_handler_t> {
    using connection_state_listener_t = connection_listener;
    static constexpr bool use_connection_count_limiter = true;
};

using restinio_server = restinio::http_server_t<server_traits>;

/// RESTinio reads one pipelined request ahead and keeps the answers in order. With a limit below
/// two it stops reading while a request runs, and notices a closed connection only when it writes
/// the answer.
constexpr std::size_t max_pipelined_requests = 2;

/// Bodies of up to this many times the size limit are read completely, so that the request can be
/// answered with 413.
constexpr std::size_t max_read_body_factor = 2;

/// RESTinio's own limit on the time until an answer. It exceeds the timeout of every route by far,
/// so that it never applies.
constexpr auto unused_handler_timeout = std::chrono::hours{24};

request_head read_head(const restinio::request_t& request)
{
    const auto& header = request.header();
    request_head head{header.method().c_str(), header.request_target(), {}};
    header.for_each_field([&head](const auto& field) {
        head.m_fields.push_back({field.name(), field.value()});
    });
    return head;
}

/// RESTinio doesn't expose the protocol version. Without a Connection field, HTTP/1.1 keeps the
/// connection open (RFC 9112 section 9.3) and older versions don't.
/// FIXME: HTTP/1.0 with `Connection: keep-alive` is mistaken for HTTP/1.1.
bool is_before_http_1_1(const restinio::request_t& request)
{
    const auto& header = request.header();
    return !header.should_keep_alive() && !header.has_field("Connection");
}

std::optional<std::size_t> content_length_of(const response_head& head)
{
    const auto text = find_field(head.m_fields, "Content-Length");
    std::size_t length = 0;
    if (!text) {
        return std::nullopt;
    }
    const auto* end = text->data() + text->size();
    const auto [stop, problem] = std::from_chars(text->data(), end, length);
    if (problem != std::errc{} || stop != end) {
        return std::nullopt;
    }
    return length;
}

template <typename Builder>
void add_fields(Builder& builder, const response_head& head)
{
    for (const auto& field : head.m_fields) {
        if (!equal_ignoring_case(field.m_name, "Content-Length")) {
            builder.header().add_field(field.m_name, field.m_value);
        }
    }
}

restinio::http_status_line_t status_line_of(const response_head& head)
{
    return {restinio::http_status_code_t{head.m_status}, "-"};
}

restinio::write_status_cb_t make_write_callback(std::function<void(bool)> on_written)
{
    return [on_written = std::move(on_written)](const asio::error_code& problem) {
        if (on_written) {
            on_written(!problem);
        }
    };
}

} // namespace

class http_server::implementation {
public:
    implementation(asio::io_context& loop, http_server_options options,
                   http_server_handlers handlers, std::uint64_t& last_exchange)
        : m_loop(loop),
          m_options(std::move(options)),
          m_handlers(std::move(handlers)),
          m_last_exchange(last_exchange),
          m_server(
              restinio::external_io_context(loop),
              [this](restinio::server_settings_t<server_traits>& settings) { configure(settings); })
    {
    }

    void open() { m_server.open_sync(); }

    void close()
    {
        m_is_closing = true;
        m_exchanges.clear();
        m_server.close_sync();
    }

    bool has_exchange(std::uint64_t id) const { return m_exchanges.contains(id); }

    void respond(std::uint64_t id, const response_head& head, std::string body)
    {
        auto node = m_exchanges.extract(id);
        if (node.empty()) {
            return;
        }
        remove_from_connection(node.mapped().m_connection_id, id);
        auto builder = node.mapped().m_request->create_response(status_line_of(head));
        add_fields(builder, head);
        if (m_options.m_closes_after_answer) {
            builder.connection_close();
        }
        builder.set_body(std::move(body));
        builder.done();
    }

    void begin(std::uint64_t id, const response_head& head)
    {
        const auto found = m_exchanges.find(id);
        if (found == m_exchanges.end()) {
            return;
        }
        auto& entry = found->second;
        const auto status = status_line_of(head);
        if (const auto length = content_length_of(head)) {
            auto builder =
                entry.m_request->create_response<restinio::user_controlled_output_t>(status);
            add_fields(builder, head);
            builder.set_content_length(*length);
            builder.flush();
            entry.m_answer.emplace<sized_builder>(std::move(builder));
        }
        else {
            auto builder = entry.m_request->create_response<restinio::chunked_output_t>(status);
            add_fields(builder, head);
            builder.flush();
            entry.m_answer.emplace<chunked_builder>(std::move(builder));
        }
    }

    void write(std::uint64_t id, std::string part, std::function<void(bool)> on_written)
    {
        const auto found = m_exchanges.find(id);
        if (found == m_exchanges.end()) {
            on_written(false);
            return;
        }
        auto& answer = found->second.m_answer;
        if (auto* chunked = std::get_if<chunked_builder>(&answer)) {
            chunked->append_chunk(std::move(part));
            chunked->flush(make_write_callback(std::move(on_written)));
        }
        else if (auto* sized = std::get_if<sized_builder>(&answer)) {
            sized->append_body(std::move(part));
            sized->flush(make_write_callback(std::move(on_written)));
        }
    }

    void finish(std::uint64_t id)
    {
        auto node = m_exchanges.extract(id);
        if (node.empty()) {
            return;
        }
        remove_from_connection(node.mapped().m_connection_id, id);
        auto& answer = node.mapped().m_answer;
        if (auto* chunked = std::get_if<chunked_builder>(&answer)) {
            chunked->done();
        }
        else if (auto* sized = std::get_if<sized_builder>(&answer)) {
            sized->done();
        }
    }

    void abort(std::uint64_t id)
    {
        auto node = m_exchanges.extract(id);
        if (node.empty()) {
            return;
        }
        auto& entry = node.mapped();
        remove_from_connection(entry.m_connection_id, id);
        // An empty final part with connection_close makes RESTinio close the connection before the
        // announced length or the last chunk has been written.
        const restinio::response_output_flags_t flags{
            restinio::response_parts_attr_t::final_parts,
            restinio::response_connection_attr_t::connection_close};
        entry.m_connection->write_response_parts(entry.m_request->request_id(), flags,
                                                 restinio::write_group_t{{}});
    }

private:
    void configure(restinio::server_settings_t<server_traits>& settings)
    {
        const auto head_size = m_options.m_max_head_size;
        restinio::incoming_http_msg_limits_t limits;
        limits.max_url_size(head_size)
            .max_field_name_size(m_options.m_max_field_name_size)
            .max_field_value_size(head_size)
            .max_field_count(m_options.m_max_field_count)
            .max_body_size(m_options.m_max_body_size * max_read_body_factor);
        settings.address(m_options.m_ip)
            .port(m_options.m_port)
            .incoming_http_msg_limits(limits)
            .max_pipelined_requests(max_pipelined_requests)
            .read_next_http_message_timelimit(m_options.m_idle_timeout)
            .write_http_response_timelimit(m_options.m_write_timeout)
            .handle_request_timeout(unused_handler_timeout)
            .concurrent_accepts_count(4)
            .max_parallel_connections(m_options.m_max_connections)
            .socket_options_setter([](restinio::socket_options_t& socket) {
                socket.set_option(asio::ip::tcp::no_delay{true});
            })
            .acceptor_options_setter([](restinio::acceptor_options_t& acceptor) {
                acceptor.set_option(asio::ip::tcp::acceptor::reuse_address{true});
            })
            .connection_state_listener(std::make_shared<connection_listener>(
                [this](restinio::connection_id_t connection) { on_closed(connection); }))
            .request_handler(
                [this](const restinio::request_handle_t& request) { return on_request(request); });
    }

    restinio::request_handling_status_t on_request(const restinio::request_handle_t& request)
    {
        const auto id = ++m_last_exchange;
        auto head = read_head(*request);
        // The request owns the body. Sharing ownership of the request avoids copying the body.
        const std::shared_ptr<const std::string> body{request, &request->body()};
        exchange entry{request->connection_id(), request,
                       restinio::impl::access_req_connection(*request), std::monostate{}};
        m_exchanges_by_connection[entry.m_connection_id].insert(id);
        m_exchanges.emplace(id, std::move(entry));
        if (is_before_http_1_1(*request)) {
            respond(id, {505, {{"Connection", "close"}}}, {});
        }
        else if (body->size() > m_options.m_max_body_size) {
            respond(id, {413, {{"Content-Type", "application/problem+json"}}},
                    R"({"type":"urn:chivevane:problem:body-too-large","status":413,)"
                    R"("title":"The request body exceeds the limit.",)"
                    R"("detail":"Send a smaller body.","outcome":"not-run"})"
                    "\n");
        }
        else {
            m_handlers.m_on_request({id, std::move(head), body});
        }
        return restinio::request_accepted();
    }

    /// RESTinio calls this while it handles the connection, so the handlers are posted to the loop.
    void on_closed(restinio::connection_id_t connection)
    {
        auto node = m_exchanges_by_connection.extract(connection);
        if (node.empty() || m_is_closing) {
            return;
        }
        for (const auto id : node.mapped()) {
            asio::post(m_loop, [this, id] {
                if (m_exchanges.erase(id) > 0) {
                    m_handlers.m_on_disconnect(id);
                }
            });
        }
    }

    void remove_from_connection(restinio::connection_id_t connection, std::uint64_t id)
    {
        const auto found = m_exchanges_by_connection.find(connection);
        if (found == m_exchanges_by_connection.end()) {
            return;
        }
        found->second.erase(id);
        if (found->second.empty()) {
            m_exchanges_by_connection.erase(found);
        }
    }

    asio::io_context& m_loop;
    http_server_options m_options;
    http_server_handlers m_handlers;
    std::uint64_t& m_last_exchange;
    bool m_is_closing = false;
    std::unordered_map<std::uint64_t, exchange> m_exchanges;
    std::unordered_map<restinio::connection_id_t, std::unordered_set<std::uint64_t>>
        m_exchanges_by_connection;
    restinio_server m_server;
};

http_server::http_server(asio::io_context& loop, http_server_options options,
                         http_server_handlers handlers, std::uint64_t& last_exchange)
    : m_implementation(std::make_unique<implementation>(loop, std::move(options),
                                                        std::move(handlers), last_exchange))
{
}

http_server::~http_server() = default;

void http_server::open()
{
    m_implementation->open();
}

void http_server::close()
{
    m_implementation->close();
}

bool http_server::has_exchange(std::uint64_t exchange) const
{
    return m_implementation->has_exchange(exchange);
}

void http_server::respond(std::uint64_t exchange, const response_head& head, std::string body)
{
    m_implementation->respond(exchange, head, std::move(body));
}

void http_server::begin(std::uint64_t exchange, const response_head& head)
{
    m_implementation->begin(exchange, head);
}

void http_server::write(std::uint64_t exchange, std::string part,
                        std::function<void(bool)> on_written)
{
    m_implementation->write(exchange, std::move(part), std::move(on_written));
}

void http_server::finish(std::uint64_t exchange)
{
    m_implementation->finish(exchange);
}

void http_server::abort(std::uint64_t exchange)
{
    m_implementation->abort(exchange);
}

} // namespace chivevane
