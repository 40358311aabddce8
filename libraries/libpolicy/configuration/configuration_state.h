#pragma once

#include "libbase/instant.h"
#include "libdocument/document.h"
#include "libpolicy/configuration/configuration_events.h"
#include "libpolicy/configuration/stored_document.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace chivevane {

/// A document in force. Requests keep the rules they were judged by alive through the pointer.
struct document_in_force {
    stored_document m_stored;
    std::shared_ptr<const document> m_rules;
};

/// Whose key a digest is.
struct key_owner {
    std::string m_document;
    std::string m_organisation;
};

/// The documents in force on this host and the operations under way to change them.
struct configuration_state {
    std::map<std::string, document_in_force, std::less<>> m_documents; ///< By name.
    std::unordered_map<std::string, key_owner> m_keys;                 ///< By key digest.
    std::map<std::uint64_t, document_submitted> m_writes;              ///< By store operation.
    std::uint64_t m_store_revision = 0;                                ///< Where the watch stands.
    instant m_next_store_call;
    bool m_store_call_is_waiting = false;
    bool m_is_ready = false; ///< The newest documents of the store or of peers are in force.
};

} // namespace chivevane
