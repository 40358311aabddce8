#pragma once

#include "libcontrol/session.h"

namespace chivevane::control {

/// A transport over HTTP/1.1 that blocks until the answer is whole or the timeouts have passed.
transport make_curl_transport();

} // namespace chivevane::control
