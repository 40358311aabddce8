#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chivevane {

/// A document in the form that the store and the hosts keep.
struct stored_document {
    std::string m_name;
    std::uint64_t m_revision = 0;             ///< Grows by one with every accepted edit.
    std::string m_edit_id;                    ///< Identifies the edit that made this revision.
    std::string m_text;                       ///< The text of the document in YAML.
    std::vector<std::string> m_earlier_edits; ///< Edit ids of earlier revisions, latest first.

    bool operator==(const stored_document&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_name, m_revision, m_edit_id, m_text, m_earlier_edits);
    }
};

} // namespace chivevane
