#pragma once

#include "libbase/result.h"
#include "libdocument/document.h"

#include <cstddef>
#include <string_view>
#include <variant>
#include <vector>

namespace chivevane {

/// The maximum size of a document in bytes. The store holds values of up to a megabyte.
constexpr std::size_t max_document_size = 1'000'000;

/// Parses and validates a document. On failure the error is the first fault; it names the line, the
/// path in the document and the remedy. No part of a document with faults is used.
result<document> parse_document(std::string_view text);

/// Parses and validates a document like `parse_document`, but reports up to 100 faults.
std::variant<document, std::vector<error>> parse_document_fully(std::string_view text);

} // namespace chivevane
