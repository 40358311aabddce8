#pragma once

#include "libadmin/admin_command.h"
#include "libadmin/admin_problem.h"
#include "libwire/request_head.h"

#include <variant>

namespace chivevane {

/// Parses the method, target and fields of a request to the administration API.
std::variant<admin_command, admin_problem> parse_admin_request(const request_head& head);

} // namespace chivevane
