#pragma once

#include "libpolicy/context.h"
#include "libpolicy/limits/limits_state.h"
#include "libpolicy/membership/membership_state.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace chivevane::limits {

/// The request may start.
struct granted {
    bool operator==(const granted&) const = default;
};

/// The organisation's rate is used up for now.
struct refused {
    duration m_retry_after{};
    bool operator==(const refused&) const = default;
};

/// The answer follows from `take_settled` within a few milliseconds, while a loan is asked for.
struct waiting {
    bool operator==(const waiting&) const = default;
};

using verdict = std::variant<granted, refused, waiting>;

/// A verdict that came late, for the request that was named by `m_ticket`.
struct settled_ticket {
    std::uint64_t m_ticket = 0;
    verdict m_verdict;
};

void start(limits_state& state, context& surroundings);

/// Takes one token of `organisation` (document/organisation). `ticket` names the request in a later
/// `settled_ticket`.
verdict take_token(limits_state& state, context& surroundings, const membership_state& members,
                   std::string_view organisation, const rate_limit& limit, std::uint64_t ticket);

/// Forgets a waiting request whose caller has gone.
void withdraw_ticket(limits_state& state, std::uint64_t ticket);

/// The late verdicts since the last call.
std::vector<settled_ticket> take_settled(limits_state& state);

void on_loan_request(limits_state& state, context& surroundings, const membership_state& members,
                     const host_identity& sender, const loan_request& request);

void on_loan_response(limits_state& state, context& surroundings, const membership_state& members,
                      const host_identity& sender, const loan_response& response);

/// Handles the store's answer to an operation of purpose `roster`.
void on_store_response(limits_state& state, context& surroundings, std::uint64_t operation_id,
                       const store_outcome& outcome);

void on_timer(limits_state& state, context& surroundings, const membership_state& members);

/// Gives this host's shares back before it leaves.
void leave(limits_state& state, context& surroundings);

instant next_wakeup(const limits_state& state);

} // namespace chivevane::limits
