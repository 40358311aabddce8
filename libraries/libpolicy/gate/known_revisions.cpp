#include "libpolicy/gate/known_revisions.h"

namespace chivevane::gate {

namespace {

constexpr duration spreading_time = 3s; // A withdrawn key has to stop within 5 s.

} // namespace

void note_revisions(known_revisions& known, const configuration_state& configuration, instant now)
{
    for (const auto& [name, held] : configuration.m_documents) {
        auto& entry = known[name];
        if (entry.m_revision < held.m_stored.m_revision) {
            entry = {held.m_stored.m_revision, now};
        }
    }
}

bool is_outdated(const known_revisions& known, std::string_view document, std::uint64_t revision,
                 instant now)
{
    const auto found = known.find(document);
    return found != known.end() && revision < found->second.m_revision &&
           now - found->second.m_since >= spreading_time;
}

} // namespace chivevane::gate
