#include "libpolicy/ingress/is_idempotent.h"

#include <algorithm>
#include <array>

namespace chivevane {

bool is_idempotent(std::string_view method)
{
    constexpr std::array<std::string_view, 6> methods{"GET", "HEAD",   "OPTIONS",
                                                      "PUT", "DELETE", "TRACE"};
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

} // namespace chivevane
