#pragma once

#include <asio/ip/tcp.hpp>

namespace chivevane {

/// Sets the options of all sockets that carry request traffic: no delay for small writes, and short
/// timeouts after which an unresponsive peer is detected. An option that the system refuses is
/// skipped.
void set_traffic_options(asio::ip::tcp::socket& socket);

/// The same for a socket of another owner.
void set_traffic_options(int descriptor);

} // namespace chivevane
