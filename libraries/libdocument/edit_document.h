#pragma once

#include "libbase/result.h"
#include "libdocument/api_key.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace chivevane {

/// Whether an edit left the text around it as it was, or had to write the document anew.
enum class edit_extent : std::uint8_t {
    nothing,        ///< The document already says so.
    in_place,       ///< Comments and layout are kept.
    whole_document, ///< The canonical form replaces the text; comments are lost.
};

/// A document's text after an edit.
struct edited_document {
    std::string m_text;
    edit_extent m_extent = edit_extent::nothing;

    bool operator==(const edited_document&) const = default;
};

/// Adds a key to an organisation. An error if there is no such organisation, or if its name or its
/// digest is taken.
result<edited_document> add_key(std::string_view text, std::string_view organisation_name,
                                const api_key& key);

/// Removes a key of an organisation. An error if there is no such organisation or key.
result<edited_document> withdraw_key(std::string_view text, std::string_view organisation_name,
                                     std::string_view key_name);

/// Takes a data centre out of service.
result<edited_document> take_datacentre_out(std::string_view text, std::string_view datacentre);

/// Brings a data centre back.
result<edited_document> bring_datacentre_in(std::string_view text, std::string_view datacentre);

} // namespace chivevane
