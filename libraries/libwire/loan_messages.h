#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace chivevane {

/// Requests rate-limit tokens of one organisation from the host that holds its token bucket. If
/// no response arrives, the sender repeats the request under the same id.
struct loan_request {
    std::uint64_t m_loan = 0; ///< Id of the loan, unique within the sender's incarnation.
    std::string m_organisation;
    std::uint32_t m_needed = 0;   ///< Tokens for requests that are waiting now.
    std::uint32_t m_prefetch = 0; ///< Further tokens for predicted requests, beyond `m_needed`.
    /// Rate limit of the organisation in requests per second, as known to the sender.
    double m_rate = 0;
    /// Burst limit of the organisation in requests, as known to the sender.
    double m_burst = 0;

    bool operator==(const loan_request&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_loan, m_organisation, m_needed, m_prefetch, m_rate, m_burst);
    }
};

/// Response to a `loan_request`. Zero tokens mean a refusal.
struct loan_response {
    std::uint64_t m_loan = 0;
    std::string m_organisation;
    std::uint32_t m_tokens = 0;
    std::uint32_t m_units = 0; ///< Share of the organisation's limit that the sender holds, out of
                               ///< `total_units`.
    std::int64_t m_retry_after_us = 0; ///< Time until a token may be available, if `m_tokens` is 0.

    bool operator==(const loan_response&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_loan, m_organisation, m_tokens, m_units, m_retry_after_us);
    }
};

/// Whether the borrowing host may still spend the remaining tokens of a loan.
enum class loan_phase : std::uint8_t { open, closed };

/// Usage of one loan of tokens so far. A later report about the same loan replaces it.
struct loan_usage {
    std::uint64_t m_loan = 0;
    std::uint32_t m_spent = 0; ///< Tokens of the loan spent so far.
    /// Time between the last spending of a token and the report.
    std::int64_t m_last_spent_age_us = 0;
    loan_phase m_phase = loan_phase::open; ///< Once closed, the unspent tokens are returned.

    bool operator==(const loan_usage&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_loan, m_spent, m_last_spent_age_us, m_phase);
    }
};

/// Reports to a lending host how much of its loans was spent.
struct loan_report {
    std::vector<loan_usage> m_usages;

    bool operator==(const loan_report&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_usages);
    }
};

/// Requests a lease on the receiver's share of the rate limits. The sender is the broker of some
/// slots, which are groups of organisations by a hash of their names, and asks for these.
struct share_lease_request {
    std::uint64_t m_request_id = 0; ///< Increases with each request of the sender's incarnation.
    std::vector<std::uint8_t> m_slots;
    std::uint64_t m_roster_version = 0; ///< Newest roster version that the sender knows.

    bool operator==(const share_lease_request&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_request_id, m_slots, m_roster_version);
    }
};

/// Response to a `share_lease_request` with the slots that the sender leases to the receiver.
struct share_lease_response {
    std::uint64_t m_request_id = 0;
    std::uint32_t m_units = 0; ///< Size of the leased share, out of `total_units`.
    std::vector<std::uint8_t> m_slots;
    std::uint64_t m_roster_version = 0; ///< Newest roster version that the sender knows.
    /// Whether the sender is a witness of the receiver's roster entry and knows of no mark for its
    /// removal, so that it confirms the receiver's holder lease. The receiver may use its own share
    /// only with a majority of its witnesses.
    bool m_confirms_holder_lease = false;

    bool operator==(const share_lease_response&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_request_id, m_units, m_slots, m_roster_version, m_confirms_holder_lease);
    }
};

} // namespace chivevane
