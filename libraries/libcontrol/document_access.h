#pragma once

#include "libcontrol/session.h"
#include "libdocument/edit_document.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace chivevane::control {

/// The revision of a document that is in force on a host.
struct current_document {
    std::uint64_t m_revision = 0; ///< The host has no such document if this is 0.
    std::string m_edit_id;
    std::string m_text;
};

/// Reads a document. The revision is 0 if the host has no document with this name.
result<current_document> read_current_document(const session& client, const std::string& name);

/// A document after a write that took effect or was not needed.
struct written_document {
    std::uint64_t m_revision = 0;
    std::string m_edit_id; ///< The id is empty if nothing had to be written.
    edit_extent m_extent = edit_extent::nothing;
    std::string m_before;
    std::string m_after;
};

/// Replaces revision `base_revision` by `text`; 0 means that the document must not exist yet. If
/// the outcome is unknown, the document is read back and its edit id compared. The write is sent
/// again only if no read shows a newer revision, with the same expected revision and edit id, so
/// that it takes effect at most once.
result<written_document> write_text(const session& client, const std::string& name,
                                    const std::string& text, std::uint64_t base_revision);

/// Whether an edit is made again on the new text after a revision conflict.
enum class conflict_policy : std::uint8_t { fail, retry };

/// Returns the text of a document after an edit.
using document_edit = std::function<result<edited_document>(std::string_view text)>;

/// Reads a document, edits it and writes it back if the edit changes it.
result<written_document> edit_current_document(const session& client, const std::string& name,
                                               const document_edit& edit, conflict_policy policy);

} // namespace chivevane::control
