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

/// What the documents in force grant to a caller's request: its route, rate limit and priority.
struct request_authorisation {
    std::shared_ptr<const document> m_document; ///< The document that holds the matched route.
    const route* m_route = nullptr;             ///< The matched route, owned by `m_document`.
    std::uint64_t m_revision = 0;               ///< The revision of that document.
    std::string m_organisation; ///< The owner of the key; empty if the request needs no key.
    rate_limit m_limit;
    std::uint32_t m_priority = 0; ///< The priority of the organisation if it has one, else that of
                                  ///< the route; 0 is the most urgent.
};

/// The SHA-256 digest of the key that a caller sent, in hexadecimal.
struct key_digest {
    std::string m_hex;
};

/// How a caller proves its organisation: not at all, by a key, or as an organisation that is known
/// already.
using caller_credential = std::variant<std::monostate, key_digest, key_owner>;

/// Validates the request head, identifies the caller by `credential` in place of the key fields of
/// the head, and finds the route that it may use. Returns the reason for the refusal otherwise.
std::variant<request_authorisation, refusal_kind>
authorise_request(const configuration_state& configuration, const request_head& head,
                  const caller_credential& credential);

/// Validates the request head, authenticates the key, and finds the route that the key may use.
/// Returns the reason for the refusal otherwise.
std::variant<request_authorisation, refusal_kind>
authorise_request(const configuration_state& configuration, const request_head& head);

/// Returns the timeout of the request: the value of X-Request-Timeout-Ms or the timeout of the
/// route, whichever is shorter.
duration timeout_of(const request_head& head, const route& matched);

} // namespace chivevane::ingress
