#pragma once

#include "libbase/instant.h"
#include "libwire/host_identity.h"
#include "libwire/loan_messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace chivevane {

/// Names a loan over all hosts and restarts.
struct loan_key {
    host_identity m_borrower;
    std::uint64_t m_loan = 0;

    auto operator<=>(const loan_key&) const = default;
};

/// A loan of tokens as the lender knows it. It is kept until it runs out, also when it is closed,
/// so that a doubled request gets the same answer and no second loan.
struct granted_loan {
    loan_response m_response;
    std::uint32_t m_spent = 0; ///< As reported; the rest still occupies room.
    loan_phase m_phase = loan_phase::open;
};

/// When a loan runs out.
struct loan_expiry {
    instant m_at;
    loan_key m_loan;
};

/// The loans of tokens that this host gave.
struct loan_book_state {
    std::map<loan_key, granted_loan> m_loans;
    std::deque<loan_expiry> m_expiries; ///< In order of time, since all loans last equally long.
};

} // namespace chivevane
