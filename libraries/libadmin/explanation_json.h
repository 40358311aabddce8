#pragma once

#include "libadmin/admin_command.h"
#include "libadmin/admin_problem.h"
#include "libadmin/admin_view.h"
#include "libadmin/json_text.h"
#include "libpolicy/explain/request_explanation.h"

#include <variant>

namespace chivevane {

/// Converts the query of `GET /v1/explain` to that of `explain_request`. Returns a problem if its
/// organisation does not exist or is in several documents.
std::variant<explanation_query, admin_problem>
make_explanation_query(const admin_view& view, const read_explanation& command);

/// Returns the body of `GET /v1/explain`.
json_value explanation_json(const request_explanation& explanation);

} // namespace chivevane
