#pragma once

#include "libbase/result.h"
#include "libdocument/document.h"

#include <cstddef>
#include <string_view>

namespace chivevane {

/// Largest document in bytes: the store holds values up to a megabyte.
constexpr std::size_t max_document_size = 1'000'000;

/// Reads and checks a whole document. The error names the line, the path in the document and the
/// remedy; nothing of a faulty document is used.
result<document> parse_document(std::string_view text);

} // namespace chivevane
