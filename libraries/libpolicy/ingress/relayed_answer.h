#pragma once

#include "libwire/request_head.h"
#include "libwire/response_head.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chivevane {

/// How much of an answer the caller has, and what is needed to resume it from another upstream.
struct relayed_answer {
    /// The length of the whole body in bytes; empty if the head does not announce it.
    std::optional<std::uint64_t> m_length;
    std::uint64_t m_relayed = 0; ///< Bytes of the body that were written to the caller.
    std::string m_etag;          ///< The strong entity tag; empty if the answer cannot be resumed.
    std::uint32_t m_resumptions = 0; ///< How often the rest was requested.
};

} // namespace chivevane

/// Resumes a broken download from another upstream (RFC 9110 sections 13.1.5 and 14).
namespace chivevane::ingress {

/// Creates the record of an answer whose head has arrived.
relayed_answer make_relayed_answer(const request_head& request, const response_head& head);

/// Whether the caller has the whole body once `bytes` more are relayed. True if no length is known.
bool is_body_complete(const relayed_answer& answer, std::uint64_t bytes);

/// Whether the rest of the answer may be requested from another upstream.
bool may_resume(const relayed_answer& answer);

/// Returns a request for the bytes of the body that have not been relayed.
request_head make_range_request(const request_head& request, const relayed_answer& answer);

/// Whether `head` answers that request with exactly the remaining bytes of the same representation.
bool is_remaining_range(const relayed_answer& answer, const response_head& head);

} // namespace chivevane::ingress
