#include "libpolicy/configuration/document_transfer.h"

#include "libbase/compression.h"
#include "libpolicy/configuration/document_archive.h"
#include "libpolicy/configuration/document_record.h"

#include <algorithm>
#include <utility>

namespace chivevane {

namespace {

/// First bytes of a transfer with a parsed document, which identify the format and its version.
/// The size of the encoded document, the document and the record follow.
constexpr std::string_view parsed_document_mark = "chivevane-parsed-document-1\n";

using encoded_size = std::uint32_t; ///< Bytes.

/// Encodes the parsed document with its size in front; empty if a string or list in it is too long.
std::string encode_parsed_document(const document& parsed_document)
{
    wire_output_archive content;
    try {
        content(parsed_document);
    }
    catch (const cereal::Exception&) {
        return {};
    }
    wire_output_archive size;
    size(static_cast<encoded_size>(content.m_bytes.size()));
    return std::move(size.m_bytes) + content.m_bytes;
}

/// Decodes the parsed document at the front of `rest` and removes it from there; null if it is
/// damaged.
std::shared_ptr<const document> take_parsed_document(std::string_view& rest)
{
    auto parsed_document = std::make_shared<document>();
    try {
        wire_input_archive front{rest};
        encoded_size size = 0;
        front(size);
        wire_input_archive content{
            front.m_remaining.substr(0, std::min<std::size_t>(size, front.m_remaining.size()))};
        content(*parsed_document);
        if (!content.m_remaining.empty()) {
            return nullptr;
        }
        rest = front.m_remaining.substr(size);
    }
    catch (const std::exception&) {
        return nullptr;
    }
    return parsed_document;
}

} // namespace

std::string encode_document_transfer(const stored_document& stored, const document& parsed_document)
{
    auto record = encode_document_record(stored);
    const auto encoded = encode_parsed_document(parsed_document);
    return encoded.empty() ? record : std::string{parsed_document_mark} + encoded + record;
}

std::optional<transferred_document> decode_document_transfer(std::string_view bytes)
{
    transferred_document transferred;
    if (bytes.starts_with(parsed_document_mark)) {
        bytes.remove_prefix(parsed_document_mark.size());
        transferred.m_parsed_document = take_parsed_document(bytes);
        if (transferred.m_parsed_document == nullptr) {
            return std::nullopt;
        }
    }
    auto stored = decode_document_record(bytes);
    if (!stored) {
        return std::nullopt;
    }
    transferred.m_stored = std::move(*stored);
    return transferred;
}

std::string compress_document(const stored_document& stored, const document& parsed_document)
{
    return compress(encode_document_transfer(stored, parsed_document));
}

std::optional<transferred_document> decompress_document(std::string_view bytes)
{
    const auto transfer = decompress(bytes, max_document_transfer_size);
    return transfer ? decode_document_transfer(*transfer) : std::nullopt;
}

} // namespace chivevane
