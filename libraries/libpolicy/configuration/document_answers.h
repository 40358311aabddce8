#pragma once

#include "libbase/error.h"
#include "libpolicy/configuration/configuration_events.h"
#include "libpolicy/effect.h"

#include <cstdint>

/// Builds the HTTP responses to a submitted document. The bodies are JSON; refusals are problem
/// documents (RFC 9457).
namespace chivevane::configuration {

/// 200: the document is in the store under `revision`.
respond answer_accepted(const document_submitted& submission, std::uint64_t revision);

/// 412: the current revision is not the expected one. Nothing was changed.
respond answer_conflict(const document_submitted& submission, std::uint64_t current_revision,
                        const std::string& current_edit);

/// 422: the submission is invalid. Nothing was changed.
respond answer_invalid(const document_submitted& submission, const error& fault);

/// 503: the store cannot be reached. Nothing was changed.
respond answer_unavailable(const document_submitted& submission);

/// 504: it is unknown whether the document was written.
respond answer_unknown(const document_submitted& submission);

} // namespace chivevane::configuration
