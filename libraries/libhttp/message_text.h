#pragma once

#include "libwire/request_head.h"
#include "libwire/response_head.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivevane {

/// How the end of an answer's body is found (RFC 9112 section 6).
enum class body_framing : std::uint8_t { none, sized, chunked };

/// Whether more requests may follow on a connection.
enum class connection_use : std::uint8_t { keep, close };

/// The length that the Content-Length field of `head` announces; empty if there is no valid one.
std::optional<std::uint64_t> content_length_of(const response_head& head);

/// Whether answers with this status to this method have no body, whatever their fields say.
bool has_no_body(std::string_view method, std::uint16_t status);

/// Status line and fields, with the blank line that ends them.
std::string format_head(const response_head& head, body_framing framing, connection_use use);

/// One chunk of a chunked body. An empty `part` gives the last chunk.
std::string format_chunk(std::string_view part);

/// Request line and fields, with the blank line that ends them. A Content-Length field is added for
/// `body_size` bytes where the method or the size asks for one.
std::string format_head(const request_head& head, std::size_t body_size);

} // namespace chivevane
