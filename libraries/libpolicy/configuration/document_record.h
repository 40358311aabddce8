#pragma once

#include "libpolicy/configuration/stored_document.h"

#include <optional>
#include <string>
#include <string_view>

namespace chivevane {

/// The value that the store keeps for a document, and that hosts hand to each other.
std::string encode_document_record(const stored_document& stored);

/// Reads what `encode_document_record` wrote; empty if it is damaged.
std::optional<stored_document> decode_document_record(std::string_view bytes);

} // namespace chivevane
