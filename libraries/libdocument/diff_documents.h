#pragma once

#include "libdocument/document.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

enum class change_kind : std::uint8_t { added, removed, changed };

/// The kind of item that a change concerns.
enum class change_subject : std::uint8_t {
    document,
    organisation,
    key,
    service,
    route,
    datacentre
};

/// One difference between two documents.
struct document_change {
    change_kind m_kind = change_kind::changed;
    change_subject m_subject = change_subject::document;
    std::string m_name;   ///< The name of the item; a key is named `organisation/key`.
    std::string m_field;  ///< The changed field; empty if the whole item was added or removed.
    std::string m_before; ///< The old value; empty if the item was added.
    std::string m_after;  ///< The new value; empty if the item was removed.

    bool operator==(const document_change&) const = default;
};

std::string_view to_string(change_kind kind);
std::string_view to_string(change_subject subject);

/// Returns the changes that turn `before` into `after`. The order of items is ignored, because it
/// has no effect.
std::vector<document_change> diff_documents(const document& before, const document& after);

/// Formats a change as one line for an operator, such as `~ organisation parish rate: 10 -> 20`.
std::string to_line(const document_change& change);

} // namespace chivevane
