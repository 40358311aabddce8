#pragma once

#include <chrono>

namespace chivevane {

/// Length of time in microseconds; the resolution of all decisions.
using duration = std::chrono::microseconds;

/// A point on the monotonic clock of one host. Instants of two hosts are never compared.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// Milliseconds of `value`, rounded down.
constexpr std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// Seconds of `value` as a floating-point number.
constexpr double to_seconds(duration value)
{
    return static_cast<double>(value.count()) / 1e6;
}

/// The duration nearest below `seconds`.
constexpr duration from_seconds(double seconds)
{
    return duration{static_cast<std::int64_t>(seconds * 1e6)};
}

} // namespace chivevane
