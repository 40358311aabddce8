#pragma once

#include "libbase/instant.h"
#include "libpolicy/configuration/configuration_events.h"
#include "libpolicy/configuration/stored_document.h"

#include <cstdint>

namespace chivevane {

/// Which store operation of a submitted document is under way.
enum class write_step : std::uint8_t { reading, writing };

/// Whether a write of the document may have taken effect unnoticed.
enum class write_effect : std::uint8_t { none, possible };

/// A submitted document on its way into the store.
struct pending_write {
    document_submitted m_submission;
    write_step m_step = write_step::reading;
    write_effect m_effect = write_effect::none;
    stored_document m_proposed; ///< What was written last.
    std::uint32_t m_tries = 0;  ///< Operations without a usable answer.
    instant m_retry_at;
};

} // namespace chivevane
