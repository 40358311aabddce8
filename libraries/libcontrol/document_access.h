#pragma once

#include "libcontrol/session.h"
#include "libdocument/edit_document.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace chivevane::control {

/// A document as a host has it in force.
struct current_document {
    std::uint64_t m_revision = 0; ///< 0: there is none.
    std::string m_edit_id;
    std::string m_text;
};

/// Reads a document; its revision is 0 where the host has none of this name.
result<current_document> read_current(const session& access, const std::string& name);

/// A write that is in force.
struct written_document {
    std::uint64_t m_revision = 0;
    std::string m_edit_id; ///< Empty: there was nothing to write.
    edit_extent m_extent = edit_extent::nothing;
    std::string m_before;
    std::string m_after;
};

/// Writes `text` in place of revision `base` (0: the document must be new). An answer that was lost
/// is settled by reading back the edit id; only then is the write sent again, under the same
/// condition, so that it takes effect at most once.
result<written_document> write_text(const session& access, const std::string& name,
                                    const std::string& text, std::uint64_t base);

/// Whether an edit that lost a race is made again on the new text.
enum class race_policy : std::uint8_t { give_up, edit_again };

/// Makes an edit from one text to the next.
using document_edit = std::function<result<edited_document>(std::string_view text)>;

/// Reads a document, edits it and writes it back.
result<written_document> edit_current(const session& access, const std::string& name,
                                      const document_edit& edit, race_policy policy);

} // namespace chivevane::control
