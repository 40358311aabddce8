#pragma once

#include "libbase/error.h"

#include <cassert>
#include <utility>
#include <variant>

namespace chivevane {

/// The value of a function, or the error that prevented it.
template <typename Value>
using result = std::variant<Value, error>;

/// Result of a function that returns no value.
using status = result<std::monostate>;

/// Returns the status of a function that succeeded.
inline status success()
{
    return std::monostate{};
}

template <typename Value>
bool is_error(const result<Value>& outcome)
{
    return std::holds_alternative<error>(outcome);
}

/// Returns the value of `outcome`, which must not be an error.
template <typename Value>
const Value& value_of(const result<Value>& outcome)
{
    assert(!is_error(outcome));
    return *std::get_if<Value>(&outcome);
}

template <typename Value>
Value&& value_of(result<Value>&& outcome)
{
    assert(!is_error(outcome));
    return std::move(*std::get_if<Value>(&outcome));
}

/// Returns the error of `outcome`, which must be an error.
template <typename Value>
const error& error_of(const result<Value>& outcome)
{
    assert(is_error(outcome));
    return *std::get_if<error>(&outcome);
}

/// Combines lambdas into one overloaded function object for `std::visit`.
template <typename... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace chivevane
