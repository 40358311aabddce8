#pragma once

#include "libdocument/document.h"
#include "libpolicy/configuration/stored_document.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// The form in which a document goes from the process that parsed it to others: its record with the
/// parsed document. Reading it takes a small part of the time of parsing the text, which a host
/// with little processor time needs seconds for if the document has a thousand routes.
namespace chivevane {

/// A document with its text and, if it is known, the result of parsing the text.
struct transferred_document {
    stored_document m_stored;
    std::shared_ptr<const document> m_parsed_document; ///< Null if the text has to be parsed.
};

/// Encodes a document with `parsed_document`, the result of parsing its text. Where the parsed
/// document cannot be encoded, the result is the record alone.
std::string encode_document_transfer(const stored_document& stored,
                                     const document& parsed_document);

/// Decodes the result of `encode_document_transfer` or of `encode_document_record`. Empty if the
/// bytes are neither.
std::optional<transferred_document> decode_document_transfer(std::string_view bytes);

/// Largest size of an encoded transfer in bytes: several times the largest document, as the parsed
/// form and the text are sent together.
constexpr std::size_t max_document_transfer_size = 8 * 1024 * 1024;

/// Returns the compressed `encode_document_transfer`, which hosts send each other.
std::string compress_document(const stored_document& stored, const document& parsed_document);

/// Reverses `compress_document`. Empty if the bytes are damaged.
std::optional<transferred_document> decompress_document(std::string_view bytes);

} // namespace chivevane
