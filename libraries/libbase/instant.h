#pragma once

#include <chrono>

namespace chivevane {

/// A length of time in microseconds, the resolution of all timeouts and measurements.
using duration = std::chrono::microseconds;

/// A point in time on the monotonic clock of one host. Instants of different hosts are not
/// comparable.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// Converts `value` to milliseconds, rounded towards zero.
constexpr std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// Converts `value` to seconds.
constexpr double to_seconds(duration value)
{
    return static_cast<double>(value.count()) / 1e6;
}

/// Converts `seconds` to a duration, rounded towards zero.
constexpr duration from_seconds(double seconds)
{
    return duration{static_cast<std::int64_t>(seconds * 1e6)};
}

} // namespace chivevane
