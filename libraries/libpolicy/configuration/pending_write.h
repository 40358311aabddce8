#pragma once

#include "libbase/instant.h"
#include "libpolicy/configuration/configuration_events.h"
#include "libpolicy/configuration/stored_document.h"

#include <cstdint>

namespace chivevane {

/// The store operation of a submitted document that is in progress.
enum class write_step : std::uint8_t { reading, writing };

/// Whether a write of the document may have taken effect although its answer was lost.
enum class write_effect : std::uint8_t { none, possible };

/// A submitted document that is being written to the store.
struct pending_write {
    document_submitted m_submission;
    write_step m_step = write_step::reading;
    write_effect m_effect = write_effect::none;
    stored_document m_proposed;   ///< The revision that was last sent to the store.
    std::uint32_t m_failures = 0; ///< Operations without a usable answer.
    instant m_retry_at;
};

} // namespace chivevane
