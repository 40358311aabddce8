#pragma once

#include "libadmin/admin_view.h"
#include "libpolicy/configuration/configuration_events.h"
#include "libpolicy/effect.h"
#include "libpolicy/limits/limits_events.h"
#include "libwire/request_head.h"

#include <string_view>
#include <variant>

namespace chivevane {

/// A request that the administration listener received.
struct admin_request {
    exchange_id m_exchange = 0;
    const request_head& m_head;
    std::string_view m_body;
    std::string_view m_fresh_edit_id; ///< A unique edit id for a write that has none.
};

/// The response, or an event for the reducer, which responds to the exchange later.
using admin_decision = std::variant<respond, document_submitted, host_declared_dead>;

/// Handles a request to the administration API. Every resource requires the operator token.
admin_decision answer_admin_request(const admin_view& view, const admin_request& request);

} // namespace chivevane
