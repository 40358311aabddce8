#pragma once

#include <cereal/types/string.hpp>
#include <cstdint>
#include <string>

namespace chivevane {

/// Asks for the right to spend tokens of one organisation for a while.
struct loan_request {
    std::uint64_t m_loan = 0; ///< Unique within the borrower's incarnation.
    std::string m_organisation;
    double m_tokens = 0;

    bool operator==(const loan_request&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_loan, m_organisation, m_tokens);
    }
};

/// Answers a `loan_request`; zero tokens is a refusal.
struct loan_response {
    std::uint64_t m_loan = 0;
    std::string m_organisation;
    double m_tokens = 0;

    bool operator==(const loan_response&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_loan, m_organisation, m_tokens);
    }
};

} // namespace chivevane
