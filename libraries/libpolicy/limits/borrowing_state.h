#pragma once

#include "libbase/instant.h"
#include "libpolicy/limits/rate_limit.h"
#include "libpolicy/limits/slot_pool.h"
#include "libpolicy/limits/verdict.h"
#include "libwire/loan_messages.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivevane {

/// A request that waits for a token.
struct waiting_ticket {
    std::uint64_t m_ticket = 0;
    instant m_deadline;
};

/// A loan that was asked for and not answered yet.
struct pending_loan {
    std::uint64_t m_loan = 0;
    std::size_t m_candidate = 0; ///< Index into the ranking of the slot's brokers.
    std::string m_lender;
    loan_request m_request;
    instant m_first_sent_at; ///< The loan's life counts from here.
    instant m_last_sent_at;
    std::uint32_t m_times_sent = 0; ///< To the present lender.
};

/// One organisation's requests on this host.
struct borrower_account {
    rate_limit m_limit;
    double m_demand = 0; ///< Smoothed, in requests per second.
    instant m_demand_at; ///< When `m_demand` was last brought up to date.
    instant m_dry_until; ///< The broker has no token before this.
    duration m_retry_after{};
    instant m_foresee_after; ///< No loan is asked for ahead of demand before this.
    std::deque<waiting_ticket> m_waiting;
    std::deque<std::uint64_t> m_open_loans; ///< Oldest first.
    std::optional<pending_loan> m_pending;
    bool m_is_busy = false; ///< Whether it stands in `m_busy`.
};

/// A loan of tokens to this host.
struct taken_loan {
    std::string m_lender;
    std::string m_organisation;
    std::uint32_t m_granted = 0;
    std::uint32_t m_spent = 0;
    std::uint32_t m_reported = 0; ///< Part of `m_spent` that a report was sent for.
    instant m_last_spent_at;
    instant m_expires_at;
};

/// A loan given up or spent whole, that is still to be reported.
struct closed_loan {
    std::uint64_t m_loan = 0;
    std::string m_lender;
    std::uint32_t m_spent = 0;
    instant m_last_spent_at;
    std::uint32_t m_times_reported = 0;
};

/// When a loan to this host runs out.
struct taken_loan_expiry {
    instant m_at;
    std::uint64_t m_loan = 0;
};

/// The loans that this host asked for.
struct borrowing_state {
    std::unordered_map<std::string, borrower_account, string_hash, std::equal_to<>> m_accounts;
    std::unordered_map<std::uint64_t, taken_loan> m_loans;
    std::unordered_map<std::uint64_t, std::string> m_organisation_of; ///< By waiting ticket.
    std::vector<std::string> m_busy; ///< Organisations with tickets or loans.
    std::deque<taken_loan_expiry> m_expiries;
    std::set<std::uint64_t> m_abandoned; ///< Asked for in vain; an answer that comes is given back.
    std::vector<std::uint64_t> m_unreported; ///< Open loans spent from since their last report.
    std::vector<closed_loan> m_closed;
    std::vector<limits::settled_ticket> m_settled;
    std::uint64_t m_last_loan = 0;
    instant m_next_report = instant::max();
    instant m_next_check = instant::max();
};

} // namespace chivevane
