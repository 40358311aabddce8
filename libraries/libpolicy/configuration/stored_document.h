#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chivevane {

/// A document as the store and the hosts keep it.
struct stored_document {
    std::string m_name;
    std::uint64_t m_revision = 0;             ///< Grows by one with every accepted edit.
    std::string m_edit_id;                    ///< Names the edit that made this revision.
    std::string m_text;                       ///< YAML.
    std::vector<std::string> m_earlier_edits; ///< Of the revisions before, the latest first.

    bool operator==(const stored_document&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_name, m_revision, m_edit_id, m_text, m_earlier_edits);
    }
};

} // namespace chivevane
