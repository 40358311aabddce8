#pragma once

#include "libcontrol/session.h"

namespace chivevane::control {

/// Returns a transport over HTTP/1.1 that blocks until the response is complete or a timeout
/// expires.
transport make_curl_transport();

} // namespace chivevane::control
