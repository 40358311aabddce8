#include "libpolicy/gate/known_revisions.h"

namespace chivevane::gate {

namespace {

/// Time in which a new revision reaches every host. A withdrawn API key has to stop working within
/// 5 s.
constexpr duration propagation_limit = 3s;

} // namespace

void record_revisions(known_revisions& known, const configuration_state& configuration, instant now)
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
           now - found->second.m_since >= propagation_limit;
}

} // namespace chivevane::gate
