#pragma once

#include "libadmin/admin_view.h"
#include "libpolicy/configuration/configuration_events.h"
#include "libpolicy/effect.h"
#include "libpolicy/limits/limits_events.h"
#include "libwire/request_head.h"

#include <string_view>
#include <variant>

namespace chivevane {

/// A request that came in on the administration listener.
struct admin_request {
    exchange_id m_exchange = 0;
    const request_head& m_head;
    std::string_view m_body;
    std::string_view m_fresh_edit_id; ///< Taken for a write that brings none; unique.
};

/// An answer, or an event for the reducer, which answers the exchange later.
using admin_decision = std::variant<respond, document_submitted, host_declared_dead>;

/// Decides on any request to the administration API. Every resource needs the operator token.
admin_decision answer_admin_request(const admin_view& view, const admin_request& request);

} // namespace chivevane
