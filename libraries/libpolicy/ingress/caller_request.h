#pragma once

#include "libbase/instant.h"
#include "libdocument/document.h"
#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/limits/rate_limit.h"
#include "libpolicy/refusal.h"
#include "libwire/request_head.h"

#include <memory>
#include <string>
#include <variant>

namespace chivevane::ingress {

/// What the documents in force say about a caller's request.
struct caller_judgement {
    std::shared_ptr<const document> m_rules;
    const route* m_route = nullptr; ///< Points into `m_rules`.
    std::uint64_t m_revision = 0;
    std::string m_organisation; ///< Empty on routes open to all.
    rate_limit m_limit;
    std::uint32_t m_priority = 0; ///< Of the organisation, else of the route.
};

/// Checks the shape of the request, finds its key's owner and its route.
std::variant<caller_judgement, refusal_kind> judge_caller(const configuration_state& configuration,
                                                          const request_head& head);

/// The time that the caller gives: X-Request-Timeout-Ms if it is shorter than the route's timeout.
duration deadline_of(const request_head& head, const route& matched);

} // namespace chivevane::ingress
