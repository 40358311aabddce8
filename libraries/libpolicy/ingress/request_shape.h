#pragma once

#include "libwire/request_head.h"

namespace chivevane::ingress {

/// Whether only one reading of the head exists, so that no host, cache or upstream on its way can
/// take it for another request (RFC 9112 sections 3.2, 5.1, 6.3 and 11.2). The parser in front
/// refuses some shapes by itself; this check does not rely on it.
bool is_well_formed(const request_head& head);

} // namespace chivevane::ingress
