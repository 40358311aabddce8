#pragma once

#include "libbase/error.h"

#include <cassert>
#include <utility>
#include <variant>

namespace chivevane {

/// Either a value or the error that kept it from being made.
template <typename Value>
using result = std::variant<Value, error>;

/// The outcome of a step that yields no value.
using status = result<std::monostate>;

/// The outcome of a step that succeeded.
inline status success()
{
    return std::monostate{};
}

template <typename Value>
bool is_error(const result<Value>& outcome)
{
    return std::holds_alternative<error>(outcome);
}

/// The value of `outcome`, which must not be an error.
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

/// The error of `outcome`, which must be one.
template <typename Value>
const error& error_of(const result<Value>& outcome)
{
    assert(is_error(outcome));
    return *std::get_if<error>(&outcome);
}

/// Calls the overload of a set of lambdas that fits the alternative held by a variant.
template <typename... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace chivevane
