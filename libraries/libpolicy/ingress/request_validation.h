#pragma once

#include "libwire/request_head.h"

namespace chivevane::ingress {

/// Whether the head is valid and unambiguous, so that no host, cache or upstream on the way can
/// parse it as another request (RFC 9112 sections 3.2, 5.1, 6.3 and 11.2). The HTTP parser already
/// refuses some invalid heads; this check does not rely on it.
bool is_well_formed(const request_head& head);

} // namespace chivevane::ingress
