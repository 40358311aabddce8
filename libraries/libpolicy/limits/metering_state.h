#pragma once

#include "libbase/instant.h"
#include "libpolicy/limits/decision.h"
#include "libpolicy/limits/meter_reach.h"
#include "libpolicy/limits/rate_limit.h"
#include "libpolicy/limits/token_bucket.h"
#include "libwire/token_messages.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chivevane {

/// What this host stores for one organisation whose requests it receives.
struct metered_account {
    token_bucket m_local_bucket; ///< An even fraction of the limit, used while no meter answers.
    /// Requests started from `m_local_bucket` that are not yet reported to a meter.
    std::uint32_t m_locally_admitted = 0;
    instant m_used_at;
};

/// A request that waits for the meter's answer.
struct pending_token_request {
    std::uint64_t m_request_id = 0; ///< The `request_id` that was given to `take_metered_token`.
    token_request m_token_request;
    rate_limit m_limit;
    instant m_first_sent_at;
    instant m_next_retry_at;
    std::uint32_t m_times_sent = 0;
};

/// The tokens of one organisation that this host meters.
struct metered_bucket {
    token_bucket m_bucket; ///< Requests that other hosts started locally may make it negative.
    double m_share = 1;    ///< The part of the limit that it had when it was last used.
};

/// A response that is kept so that a retried request gets the same response.
struct cached_response {
    instant m_at;
    std::string m_host; ///< Name of the host that sent the request.
    token_response m_response;
};

/// A token request that this host relayed for a host that cannot reach the meter.
struct relayed_token_request {
    host_address m_origin;
    std::uint64_t m_id = 0; ///< Request id that the origin assigned.
    instant m_at;
};

/// State of metering on this host, for its own requests and for the organisations that it meters.
struct metering_state {
    /// Accounts by organisation key (document/organisation).
    std::map<std::string, metered_account, std::less<>> m_accounts;
    std::map<std::uint64_t, pending_token_request> m_pending; ///< By id of the token request.
    /// Buckets that this host meters, by organisation key (document/organisation).
    std::map<std::string, metered_bucket, std::less<>> m_metered_buckets;
    /// Relayed requests by the id that this host assigned.
    std::map<std::uint64_t, relayed_token_request> m_relayed;
    std::deque<cached_response> m_cached_responses; ///< Oldest first.
    /// When each meter first left a request unanswered since its last answer.
    std::map<std::string, instant, std::less<>> m_silent_since;
    /// Silent meters are not used before this time, by host name.
    std::map<std::string, instant, std::less<>> m_silent_until;
    meter_reach m_reach; ///< Limits what this host grants as a meter.
    std::vector<limits::deferred_decision> m_deferred_decisions;
    std::uint64_t m_last_id = 0; ///< The token request id assigned last.
    instant m_next_sweep;
};

} // namespace chivevane
