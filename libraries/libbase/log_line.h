#pragma once

#include <fmt/format.h>
#include <string>
#include <string_view>

namespace chivevane {

/// Builds the log line of one event from key=value pairs. A value is quoted and escaped if it is
/// empty or contains spaces, quotes, equals signs or control characters.
class log_line {
public:
    /// Starts the line with `event=name`.
    explicit log_line(std::string_view event_name);

    log_line& add(std::string_view key, std::string_view value);

    template <typename Value>
    requires std::is_arithmetic_v<Value> log_line& add(std::string_view key, Value value)
    {
        return add(key, std::string_view{fmt::format("{}", value)});
    }

    const std::string& text() const { return m_text; }

private:
    std::string m_text;
};

/// Writes `line` to the log of the process at level info.
void write_log(const log_line& line);

/// Writes `line` to the log of the process at level warning.
void write_warning(const log_line& line);

} // namespace chivevane
