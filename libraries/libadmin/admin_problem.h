#pragma once

#include "libbase/error.h"
#include "libpolicy/effect.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

/// Why the administration API refuses a request. Each kind has one status, problem type and remedy.
enum class admin_problem_kind : std::uint8_t {
    malformed_condition, ///< 400
    malformed_edit_id,   ///< 400
    malformed_query,     ///< 400
    token_refused,       ///< 401
    no_resource,         ///< 404
    no_document,         ///< 404
    method_not_allowed,  ///< 405
    revision_conflict,   ///< 412
    invalid_document,    ///< 422
    condition_missing,   ///< 428
};

/// A refusal before it is written as an RFC 9457 problem document.
struct admin_problem {
    admin_problem_kind m_kind;
    std::string m_detail;        ///< What was wrong in this request; empty where the kind says it.
    std::vector<error> m_faults; ///< Of an invalid document.
    std::string m_allowed_methods; ///< Of a resource that has not the method asked for.
};

/// The stable name of `kind`: the last part of the problem type.
std::string_view to_string(admin_problem_kind kind);

/// HTTP status of `kind` (RFC 9110 section 15, RFC 6585 section 3).
std::uint16_t status_of(admin_problem_kind kind);

/// The effect that answers `exchange` with `problem` (RFC 9457).
respond make_problem(exchange_id exchange, const admin_problem& problem);

} // namespace chivevane
