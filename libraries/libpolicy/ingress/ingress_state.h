#pragma once

#include "libbase/instant.h"
#include "libdocument/document.h"
#include "libpolicy/identifiers.h"
#include "libpolicy/limits/rate_limit.h"
#include "libwire/attempt_id.h"
#include "libwire/request_head.h"
#include "libwire/upstream_id.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivevane {

/// One try to have a request answered by one upstream.
struct ingress_attempt {
    attempt_id m_id;
    transfer_id m_transfer = 0;
    upstream_id m_upstream;
    std::uint64_t m_gate_incarnation = 0;
    instant m_started_at;
};

/// How far a request has come at the ingress.
enum class ingress_phase : std::uint8_t {
    awaiting_token,
    awaiting_answer,
    relaying,
};

/// A request that this host owns until its caller has the whole answer or a refusal.
struct ingress_request {
    exchange_id m_exchange = 0;
    request_head m_head; ///< As it may leave this process.
    std::uint64_t m_body_hash = 0;
    std::shared_ptr<const document> m_rules; ///< Keeps `m_route` alive.
    const route* m_route = nullptr;
    std::uint64_t m_revision = 0;
    std::string m_organisation; ///< Empty on routes open to all.
    rate_limit m_limit;
    instant m_deadline;
    ingress_phase m_phase = ingress_phase::awaiting_token;
    std::vector<ingress_attempt> m_attempts;
};

/// The ingress of this host.
struct ingress_state {
    std::map<exchange_id, ingress_request> m_requests;
    std::unordered_map<transfer_id, exchange_id> m_by_transfer;
    std::uint64_t m_last_request = 0; ///< Counts requests for attempt ids.
    bool m_is_leaving = false;
};

} // namespace chivevane
