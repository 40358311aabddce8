#pragma once

#include <asio/ip/tcp.hpp>

namespace chivevane {

/// Sets the options that all traffic sockets have: no delay for small writes, and short bounds on
/// how long a silent other side goes unnoticed. Options that the system refuses are left out.
void set_traffic_options(asio::ip::tcp::socket& socket);

} // namespace chivevane
