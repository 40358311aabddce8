#pragma once

#include "libdocument/document.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

enum class change_kind : std::uint8_t { added, removed, changed };

/// The kinds of thing that a document consists of.
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
    std::string m_name;   ///< Of the thing; keys are named organisation/key.
    std::string m_field;  ///< What of it changed; empty where the whole thing came or went.
    std::string m_before; ///< Empty for an added thing.
    std::string m_after;  ///< Empty for a removed thing.

    bool operator==(const document_change&) const = default;
};

std::string_view to_string(change_kind kind);
std::string_view to_string(change_subject subject);

/// What changes when `after` replaces `before`. The order of things does not count, since nothing
/// depends on it.
std::vector<document_change> diff_documents(const document& before, const document& after);

/// One line for an operator, such as `~ organisation parish rate: 10 -> 20`.
std::string to_line(const document_change& change);

} // namespace chivevane
