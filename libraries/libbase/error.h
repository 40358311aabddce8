#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chivevane {

/// Kinds of errors that a caller of a function may handle differently.
enum class error_kind : std::uint8_t {
    syntax,          ///< The text is not well-formed.
    unknown_field,   ///< The format has no field of this name.
    missing_field,   ///< A required field is absent.
    wrong_type,      ///< A field has another type than the format requires.
    out_of_range,    ///< A value is outside its bounds.
    duplicate,       ///< A name that must be unique occurs more than once.
    dangling,        ///< A reference names something that does not exist.
    too_large,       ///< A size, depth or count exceeds its limit.
    not_found,       ///< The requested resource does not exist.
    conflict,        ///< The resource was modified concurrently.
    unauthenticated, ///< A signature or token does not match.
    unavailable,     ///< The peer cannot be reached; the operation had no effect.
    unknown_outcome, ///< The peer may or may not have performed the operation.
    malformed,       ///< Bytes received from the network cannot be decoded.
};

/// Returns the name of `kind` that appears in logs and HTTP responses. Names never change.
std::string_view to_string(error_kind kind);

/// A typed error. `m_message` describes the error and `m_remedy` how to resolve it.
struct error {
    error_kind m_kind;
    std::string m_message;
    std::string m_remedy;
};

/// Formats the kind, the message and the remedy as one line.
std::string describe(const error& failure);

} // namespace chivevane
