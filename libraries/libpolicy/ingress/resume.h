#pragma once

#include "libwire/request_head.h"
#include "libwire/response_head.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chivevane {

/// How much of an answer the caller has, and what is needed to go on with it.
struct relayed_answer {
    std::optional<std::uint64_t> m_length; ///< Of the whole body; empty if it is not announced.
    std::uint64_t m_relayed = 0;           ///< Bytes that were written to the caller.
    std::string m_etag;                    ///< Empty if the answer cannot be resumed.
    std::uint32_t m_resumptions = 0;
};

} // namespace chivevane

/// Going on with a broken download from another upstream (RFC 9110 sections 13.1.5 and 14).
namespace chivevane::ingress {

/// What is known of an answer when its head has come.
relayed_answer begin_answer(const request_head& request, const response_head& head);

/// Whether the caller has the whole body, or would if `bytes` more were relayed.
bool is_whole(const relayed_answer& answer, std::uint64_t bytes);

/// Whether the rest of the answer may be asked of another upstream.
bool may_resume(const relayed_answer& answer);

/// The request for the rest of the body.
request_head request_for_rest(const request_head& request, const relayed_answer& answer);

/// Whether `head` begins exactly the rest of the same representation.
bool is_rest_of(const relayed_answer& answer, const response_head& head);

} // namespace chivevane::ingress
