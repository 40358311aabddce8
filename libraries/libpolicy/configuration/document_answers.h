#pragma once

#include "libbase/error.h"
#include "libpolicy/configuration/configuration_events.h"
#include "libpolicy/effect.h"

#include <cstdint>

/// The answers to a submitted document: JSON, refusals as problem documents (RFC 9457).
namespace chivevane::configuration {

/// 200: the document is in the store under `revision`.
respond answer_accepted(const document_submitted& submission, std::uint64_t revision);

/// 412: another revision than the expected one is current. Nothing was changed.
respond answer_conflict(const document_submitted& submission, std::uint64_t current_revision,
                        const std::string& current_edit);

/// 422: the submission is faulty. Nothing was changed.
respond answer_invalid(const document_submitted& submission, const error& fault);

/// 503: the store cannot be reached. Nothing was changed.
respond answer_unavailable(const document_submitted& submission);

/// 504: whether the document was written could not be found out.
respond answer_unknown(const document_submitted& submission);

} // namespace chivevane::configuration
