#pragma once

#include "libpolicy/configuration/stored_document.h"

#include <optional>
#include <string>
#include <string_view>

namespace chivevane {

/// Encodes a document as the record that the store keeps and that hosts send to each other.
std::string encode_document_record(const stored_document& stored);

/// Decodes a record of `encode_document_record`; empty if the record is damaged.
std::optional<stored_document> decode_document_record(std::string_view bytes);

} // namespace chivevane
