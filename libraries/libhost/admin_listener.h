#pragma once

#include "libhost/timeline.h"
#include "libhttp/http_server.h"
#include "libpolicy/configuration/configuration_events.h"
#include "libpolicy/effect.h"
#include "libpolicy/node_state.h"

#include <string_view>
#include <variant>

namespace chivevane {

/// What the administration API shows and checks against.
struct admin_view {
    const node_state& m_node;
    const timeline& m_timeline;
    std::string_view m_operator_token;
};

/// An answer, or a document for the reducer.
std::variant<respond, document_submitted> decide_admin_request(const received_request& request,
                                                               const admin_view& view);

} // namespace chivevane
