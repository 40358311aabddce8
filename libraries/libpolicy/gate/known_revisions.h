#pragma once

#include "libbase/instant.h"
#include "libpolicy/configuration/configuration_state.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace chivevane {

/// Newest revision of a document that this gate has seen in force.
struct known_revision {
    std::uint64_t m_revision = 0;
    instant m_since; ///< When the gate noticed it.
};

using known_revisions = std::map<std::string, known_revision, std::less<>>; ///< By document.

} // namespace chivevane

namespace chivevane::gate {

/// Records the document revisions in force on this host.
void record_revisions(known_revisions& known, const configuration_state& configuration,
                      instant now);

/// Whether a request was authorised under a revision that every host should have replaced by now.
/// The API key of the request may have been withdrawn since.
bool is_outdated(const known_revisions& known, std::string_view document, std::uint64_t revision,
                 instant now);

} // namespace chivevane::gate
