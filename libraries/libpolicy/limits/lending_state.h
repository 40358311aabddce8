#pragma once

#include "libbase/instant.h"
#include "libwire/host_identity.h"
#include "libwire/loan_messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace chivevane {

/// Identifies a loan uniquely over all hosts and their restarts.
struct loan_key {
    host_identity m_borrower;
    std::uint64_t m_loan = 0; ///< Loan id that the borrower assigned.

    auto operator<=>(const loan_key&) const = default;
};

/// A loan of tokens as the lender knows it. The lender keeps the loan until it expires, even if it
/// is closed, so that a duplicate request gets the same answer instead of a second loan.
struct granted_loan {
    loan_response m_response;
    std::uint32_t m_spent = 0; ///< Tokens reported as spent; the others still occupy capacity.
    loan_phase m_phase = loan_phase::open;
};

/// When a granted loan expires.
struct loan_expiry {
    instant m_at;
    loan_key m_loan;
};

/// The lender's side: all loans of tokens that this host granted.
struct lending_state {
    std::map<loan_key, granted_loan> m_loans;
    std::deque<loan_expiry> m_expiries; ///< Sorted by time, since all loans last equally long.
};

} // namespace chivevane
