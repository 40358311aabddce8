#pragma once

#include "libbase/instant.h"
#include "libpolicy/limits/rate_limit.h"
#include "libpolicy/limits/verdict.h"
#include "libwire/token_messages.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chivevane {

/// Tokens that are earned at a rate and kept up to a bound.
struct token_bucket {
    double m_tokens = 0;
    instant m_updated_at;
};

/// One organisation on this host.
struct metered_account {
    token_bucket m_share;        ///< An even part of the limit, for when no meter answers.
    std::uint32_t m_unasked = 0; ///< Requests let through from it that no meter knows of yet.
    instant m_used_at;
};

/// A request that waits for the meter's answer.
struct pending_token {
    std::uint64_t m_ticket = 0; ///< The request's.
    token_request m_request;
    rate_limit m_limit;
    instant m_first_sent_at;
    instant m_next_look;
    std::uint32_t m_times_sent = 0;
};

/// The tokens of one organisation that this host meters.
struct token_meter {
    token_bucket m_bucket; ///< May fall below zero by what was let through unasked.
};

/// An answer that is kept, since the same request may be repeated.
struct given_answer {
    instant m_at;
    std::string m_host;
    token_response m_response;
};

/// A request that this host passed on for another that cannot reach the meter.
struct relayed_token {
    host_address m_origin;
    std::uint64_t m_id = 0; ///< The origin's.
    instant m_at;
};

/// Metering on this host, for its own requests and for the organisations that it meters.
struct metering_state {
    std::map<std::string, metered_account, std::less<>> m_accounts; ///< By document/organisation.
    std::map<std::uint64_t, pending_token> m_pending;               ///< By the id of the request.
    std::map<std::string, token_meter, std::less<>> m_meters;       ///< By document/organisation.
    std::map<std::uint64_t, relayed_token> m_relayed;           ///< By the id that this host gave.
    std::deque<given_answer> m_given;                           ///< Oldest first.
    std::map<std::string, instant, std::less<>> m_silent_since; ///< Meters without an answer.
    std::map<std::string, instant, std::less<>> m_silent_until; ///< Meters that are passed over.
    std::vector<limits::settled_ticket> m_settled;
    std::uint64_t m_last_id = 0;
    instant m_next_sweep;
};

} // namespace chivevane
