#pragma once

#include "libbase/result.h"
#include "libdocument/document.h"

#include <cstddef>
#include <string_view>
#include <variant>
#include <vector>

namespace chivevane {

/// Largest document in bytes: the store holds values up to a megabyte.
constexpr std::size_t max_document_size = 1'000'000;

/// Reads and checks a whole document. The error is the first fault; it names the line, the path in
/// the document and the remedy. Nothing of a faulty document is used.
result<document> parse_document(std::string_view text);

/// Like `parse_document`, but returns all faults (the first hundred).
std::variant<document, std::vector<error>> parse_document_fully(std::string_view text);

} // namespace chivevane
