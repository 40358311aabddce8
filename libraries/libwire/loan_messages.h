#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace chivevane {

/// Asks for tokens of one organisation. Sent again under the same id when no answer came.
struct loan_request {
    std::uint64_t m_loan = 0; ///< Unique within the borrower's incarnation.
    std::string m_organisation;
    std::uint32_t m_needed = 0; ///< Tokens that requests are waiting for.
    std::uint32_t m_wanted = 0; ///< Tokens for requests foreseen, beyond `m_needed`.
    double m_rate = 0;          ///< Of the organisation, as the borrower knows it, in 1/s.
    double m_burst = 0;         ///< Of the organisation, as the borrower knows it.

    bool operator==(const loan_request&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_loan, m_organisation, m_needed, m_wanted, m_rate, m_burst);
    }
};

/// Answers a `loan_request`; zero tokens is a refusal.
struct loan_response {
    std::uint64_t m_loan = 0;
    std::string m_organisation;
    std::uint32_t m_tokens = 0;
    std::uint32_t m_units = 0; ///< Share of the organisation that the lender has, of `total_units`.
    std::int64_t m_retry_after_us = 0; ///< When a token may be there, if `m_tokens` is 0.

    bool operator==(const loan_response&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_loan, m_organisation, m_tokens, m_units, m_retry_after_us);
    }
};

/// Whether a borrower may still spend the rest of a loan.
enum class loan_phase : std::uint8_t { open, closed };

/// What became of one loan so far. A later report of the same loan replaces it.
struct loan_use {
    std::uint64_t m_loan = 0;
    std::uint32_t m_spent = 0;             ///< All tokens of the loan spent so far.
    std::int64_t m_last_spent_us = 0;      ///< Age of the latest spending when the report was sent.
    loan_phase m_phase = loan_phase::open; ///< Closed: the unspent rest is given back.

    bool operator==(const loan_use&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_loan, m_spent, m_last_spent_us, m_phase);
    }
};

/// Tells a lender what became of its loans.
struct loan_report {
    std::vector<loan_use> m_uses;

    bool operator==(const loan_report&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_uses);
    }
};

/// A broker asks a host to lend it the host's share of all organisations in some slots.
struct share_request {
    std::uint64_t m_request = 0; ///< Grows with each request of the broker's incarnation.
    std::vector<std::uint8_t> m_slots;
    std::uint64_t m_roster_version = 0; ///< The newest that the sender knows.

    bool operator==(const share_request&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_request, m_slots, m_roster_version);
    }
};

/// Answers a `share_request` with the slots that are lent.
struct share_response {
    std::uint64_t m_request = 0;
    std::uint32_t m_units = 0; ///< Size of the share, of `total_units`.
    std::vector<std::uint8_t> m_slots;
    std::uint64_t m_roster_version = 0; ///< The newest that the sender knows.
    bool m_vouches = false; ///< The sender is a witness of the receiver and knows of no mark on it.

    bool operator==(const share_response&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_request, m_units, m_slots, m_roster_version, m_vouches);
    }
};

} // namespace chivevane
