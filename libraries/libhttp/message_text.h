#pragma once

#include "libwire/request_head.h"
#include "libwire/response_head.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivevane {

/// How the end of an answer's body is determined (RFC 9112 section 6).
enum class body_framing : std::uint8_t { none, sized, chunked };

/// Whether a connection stays open for more requests after an answer.
enum class connection_use : std::uint8_t { keep, close };

/// Returns the value of the Content-Length field, or nothing if there is no valid one.
std::optional<std::uint64_t> content_length_of(const response_head& head);

/// Returns whether an answer with this status to this method has no body, regardless of its fields.
bool has_no_body(std::string_view method, std::uint16_t status);

/// Formats the status line and the fields, with the blank line that ends the head.
std::string format_head(const response_head& head, body_framing framing, connection_use use);

/// Formats one chunk of a chunked body. An empty `part` gives the last chunk.
std::string format_chunk(std::string_view part);

/// Formats the request line and the fields, with the blank line that ends the head. A
/// Content-Length field of `body_size` bytes is added if the body is not empty or the method
/// usually has a body.
std::string format_head(const request_head& head, std::size_t body_size);

} // namespace chivevane
