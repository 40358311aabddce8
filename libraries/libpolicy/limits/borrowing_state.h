#pragma once

#include "libbase/instant.h"
#include "libpolicy/limits/decision.h"
#include "libpolicy/limits/rate_limit.h"
#include "libpolicy/limits/slot_pool.h"
#include "libwire/loan_messages.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivevane {

/// A request that waits for a token from a loan.
struct waiting_request {
    std::uint64_t m_request_id = 0;
    instant m_deadline; ///< The request is refused if no token is available by this time.
};

/// A loan that this host has requested and that no broker has answered yet.
struct pending_loan {
    std::uint64_t m_loan = 0;
    std::size_t m_candidate = 0; ///< Index of the lender in the ranking of the slot's brokers.
    std::string m_lender;
    loan_request m_request;
    instant m_first_sent_at; ///< The lifetime of the loan is counted from this time.
    instant m_last_sent_at;
    std::uint32_t m_times_sent = 0; ///< How often the request was sent to `m_lender`.
};

/// The demand, waiting requests and loans of one organisation on this host.
struct borrower_account {
    rate_limit m_limit;
    double m_demand = 0;       ///< Exponentially smoothed demand, in requests per second.
    instant m_demand_at;       ///< When `m_demand` was last updated.
    instant m_exhausted_until; ///< The broker is assumed to have no token before this time.
    duration m_retry_after{};  ///< Retry delay that refused requests are given.
    instant m_prefetch_after;  ///< No loan is requested ahead of demand before this time.
    std::deque<waiting_request> m_waiting;
    std::deque<std::uint64_t> m_open_loans; ///< Ids of loans that may be spent, oldest first.
    std::optional<pending_loan> m_pending;
    bool m_is_active = false; ///< Whether `m_active_organisations` contains the organisation.
};

/// A loan of tokens that this host has received.
struct received_loan {
    std::string m_lender;
    std::string m_organisation;
    std::uint32_t m_granted = 0;  ///< Tokens that the lender granted.
    std::uint32_t m_spent = 0;    ///< Tokens spent so far.
    std::uint32_t m_reported = 0; ///< Value of `m_spent` in the latest report to the lender.
    instant m_last_spent_at;
    instant m_expires_at;
};

/// A loan that was returned, spent entirely or expired, and still has to be reported.
struct closed_loan {
    std::uint64_t m_loan = 0;
    std::string m_lender;
    std::uint32_t m_spent = 0;
    instant m_last_spent_at;
    std::uint32_t m_times_reported = 0;
};

/// When a loan to this host expires.
struct received_loan_expiry {
    instant m_at;
    std::uint64_t m_loan = 0;
};

/// The borrower's side: all loans of tokens that this host requested or received.
struct borrowing_state {
    /// Accounts by organisation key (document/organisation).
    std::unordered_map<std::string, borrower_account, string_hash, std::equal_to<>> m_accounts;
    std::unordered_map<std::uint64_t, received_loan> m_loans; ///< Open loans by loan id.
    /// Organisation keys of the waiting requests, by `m_request_id`.
    std::unordered_map<std::uint64_t, std::string> m_waiting_organisations;
    /// Organisations with a pending loan, waiting requests or open loans.
    std::vector<std::string> m_active_organisations;
    std::deque<received_loan_expiry> m_expiries;
    /// Loans that this host stopped waiting for; if one is granted late, it is returned unspent.
    std::set<std::uint64_t> m_abandoned_loans;
    std::vector<std::uint64_t> m_unreported; ///< Open loans spent from since their last report.
    std::vector<closed_loan> m_closed;
    std::vector<limits::deferred_decision> m_deferred_decisions;
    std::uint64_t m_last_loan = 0; ///< The loan id assigned last.
    instant m_next_report = instant::max();
    instant m_next_check = instant::max();
};

} // namespace chivevane
