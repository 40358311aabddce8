#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chivevane {

/// The kinds of error that callers of this code tell apart.
enum class error_kind : std::uint8_t {
    syntax,          ///< The text is not well formed.
    unknown_field,   ///< A field that the format does not have.
    missing_field,   ///< A required field is absent.
    wrong_type,      ///< A field has another type than the format asks for.
    out_of_range,    ///< A value lies outside its bounds.
    duplicate,       ///< A name that must be unique stands twice.
    dangling,        ///< A reference to a name that is not there.
    too_large,       ///< A size, depth or count beyond its limit.
    not_found,       ///< The named thing does not exist.
    conflict,        ///< Somebody else changed the thing first.
    unauthenticated, ///< A signature or token did not match.
    unavailable,     ///< The other side cannot be reached; nothing was done.
    unknown_outcome, ///< The other side may or may not have done it.
    malformed,       ///< Bytes from the network that do not decode.
};

/// The stable name of `kind`, as it appears in logs and answers.
std::string_view to_string(error_kind kind);

/// A typed error. `m_message` says what is wrong and `m_remedy` what to do about it.
struct error {
    error_kind m_kind;
    std::string m_message;
    std::string m_remedy;
};

/// One line with the kind, the message and the remedy.
std::string describe(const error& failure);

} // namespace chivevane
