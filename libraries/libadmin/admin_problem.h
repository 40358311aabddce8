#pragma once

#include "libbase/error.h"
#include "libpolicy/effect.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

/// Why the administration API rejects a request. Each kind has one status, problem type and remedy.
enum class admin_problem_kind : std::uint8_t {
    malformed_condition, ///< The HTTP status is 400.
    malformed_edit_id,   ///< The HTTP status is 400.
    malformed_query,     ///< The HTTP status is 400.
    token_refused,       ///< The HTTP status is 401.
    no_resource,         ///< The HTTP status is 404.
    no_document,         ///< The HTTP status is 404.
    no_organisation,     ///< The HTTP status is 404.
    method_not_allowed,  ///< The HTTP status is 405.
    revision_conflict,   ///< The HTTP status is 412.
    invalid_document,    ///< The HTTP status is 422.
    condition_missing,   ///< The HTTP status is 428.
};

/// A rejected request, from which `make_problem` makes an RFC 9457 problem document.
struct admin_problem {
    admin_problem_kind m_kind;
    std::string m_detail;          ///< What is wrong with this request; empty if the kind tells it.
    std::vector<error> m_faults;   ///< The faults of an invalid document.
    std::string m_allowed_methods; ///< The Allow field of a method that is not allowed.
};

/// Returns the stable name of `kind`, which is the last part of the problem type URN.
std::string_view to_string(admin_problem_kind kind);

/// Returns the HTTP status of `kind` (RFC 9110 section 15, RFC 6585 section 3).
std::uint16_t status_of(admin_problem_kind kind);

/// Returns the effect that responds to `exchange` with `problem` (RFC 9457).
respond make_problem(exchange_id exchange, const admin_problem& problem);

} // namespace chivevane
