#pragma once

#include "libdocument/document.h"
#include "libpolicy/configuration/stored_document.h"
#include "libpolicy/effect.h"
#include "libpolicy/identifiers.h"
#include "libwire/store_operation.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace chivevane {

/// The store answered an operation, or the operation failed or timed out.
struct store_response {
    std::uint64_t m_operation_id = 0;
    store_purpose m_purpose = store_purpose::registration;
    store_outcome m_outcome;

    bool operator==(const store_response&) const = default;
};

/// An operator submitted a document. The exchange is answered when the outcome is known.
struct document_submitted {
    exchange_id m_exchange = 0;
    std::string m_name;
    std::string m_text;
    std::optional<std::uint64_t> m_expected_revision; ///< 0: it must not exist. Empty: any.
    std::string m_edit_id; ///< Unique id of the edit; finds it again after a lost answer.

    bool operator==(const document_submitted&) const = default;
};

/// A `fetch_document` was answered or failed.
struct document_fetched {
    std::string m_name;
    std::optional<stored_document> m_document; ///< Empty if the fetch failed.
    /// The parsed document, if it was parsed outside the event loop.
    std::shared_ptr<const document> m_parsed_document;
    host_address m_from; ///< The host that was asked.

    bool operator==(const document_fetched&) const = default;
};

} // namespace chivevane
