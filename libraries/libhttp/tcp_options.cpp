#include "libhttp/tcp_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace chivevane {

namespace {

constexpr int unacknowledged_limit_ms = 2'500; // A retransmission after 1 s must still fit in.
constexpr int keep_alive_idle_s = 2;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;

void set_number(asio::ip::tcp::socket& socket, int level, int option, int value)
{
    // A socket without the option still works; requests have deadlines of their own.
    setsockopt(socket.native_handle(), level, option, &value, sizeof value);
}

} // namespace

void set_traffic_options(asio::ip::tcp::socket& socket)
{
    set_number(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set_number(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_limit_ms);
    set_number(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_number(socket, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_s);
    set_number(socket, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
    set_number(socket, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

} // namespace chivevane
