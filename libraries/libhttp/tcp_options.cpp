#include "libhttp/tcp_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace chivevane {

namespace {

/// The time that sent data may stay unacknowledged. It leaves room for a retransmission after 1 s.
constexpr int user_timeout_ms = 2'500;
constexpr int keep_alive_idle_s = 2;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;

void set_integer_option(int descriptor, int level, int option, int value)
{
    // Errors are ignored: the socket works without the option, and requests have their own
    // deadlines.
    setsockopt(descriptor, level, option, &value, sizeof value);
}

} // namespace

void set_traffic_options(asio::ip::tcp::socket& socket)
{
    set_traffic_options(socket.native_handle());
}

void set_traffic_options(int descriptor)
{
    set_integer_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_integer_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
    set_integer_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_integer_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_s);
    set_integer_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
    set_integer_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

} // namespace chivevane
