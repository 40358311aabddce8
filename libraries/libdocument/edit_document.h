#pragma once

#include "libbase/result.h"
#include "libdocument/api_key.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace chivevane {

/// How much of the document's text an edit rewrites.
enum class edit_extent : std::uint8_t {
    nothing,        ///< The document already has the requested content.
    in_place,       ///< Comments and layout are kept.
    whole_document, ///< The canonical form replaces the text; comments are lost.
};

/// The text of a document after an edit.
struct edited_document {
    std::string m_text;
    edit_extent m_extent = edit_extent::nothing;

    bool operator==(const edited_document&) const = default;
};

/// Adds a key to an organisation. Fails if the organisation does not exist, if it already has a key
/// of this name, or if any key of the document has this digest.
result<edited_document> add_key(std::string_view text, std::string_view organisation_name,
                                const api_key& key);

/// Removes a key of an organisation. Fails if the organisation or the key does not exist.
result<edited_document> withdraw_key(std::string_view text, std::string_view organisation_name,
                                     std::string_view key_name);

/// Takes a data centre out of service, so that it gets no new requests.
result<edited_document> take_datacentre_out(std::string_view text, std::string_view datacentre);

/// Returns a data centre to service.
result<edited_document> bring_datacentre_in(std::string_view text, std::string_view datacentre);

} // namespace chivevane
