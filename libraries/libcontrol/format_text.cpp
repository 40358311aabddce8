#include "libcontrol/format_text.h"

#include "libbase/log_line.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <fmt/chrono.h>

namespace chivevane::control {

std::string format_table(const std::vector<std::string>& header,
                         const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths(header.size());
    std::transform(header.begin(), header.end(), widths.begin(),
                   [](const std::string& title) { return title.size(); });
    for (const auto& row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    const auto append = [&](const std::vector<std::string>& row) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += fmt::format("{:<{}}  ", row[column], widths[column]);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    };
    append(header);
    std::for_each(rows.begin(), rows.end(), append);
    return text;
}

std::string format_objects(const json_value& objects, const std::vector<std::string>& columns)
{
    std::vector<std::vector<std::string>> rows;
    for (const auto& object : objects) {
        auto& row = rows.emplace_back();
        for (const auto& column : columns) {
            row.push_back(object.contains(column) ? format_cell(object[column]) : "-");
        }
    }
    return format_table(columns, rows);
}

std::string format_wall_time(std::int64_t wall_ms)
{
    constexpr std::int64_t ms_per_second = 1'000;
    const auto seconds = static_cast<std::time_t>(wall_ms / ms_per_second);
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds),
                       wall_ms % ms_per_second);
}

std::string format_timeline_entry(const json_value& entry)
{
    log_line line{entry.value("event", "")};
    line.add("host", entry.value("host", ""));
    if (const auto fields = entry.find("fields"); fields != entry.end()) {
        for (const auto& [key, value] : fields->items()) {
            line.add(key, format_cell(value));
        }
    }
    return fmt::format("{}/{} {}", format_wall_time(entry.value("wall_ms", std::int64_t{0})),
                       entry.value("counter", 0U), line.text());
}

std::string format_cell(const json_value& value)
{
    if (value.is_null()) {
        return "-";
    }
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_number_float()) {
        return fmt::format("{}", value.get<double>());
    }
    if (value.is_array()) {
        std::string text;
        for (const auto& item : value) {
            text += (text.empty() ? "" : " ") + format_cell(item);
        }
        return text.empty() ? "-" : text;
    }
    return value.dump();
}

} // namespace chivevane::control
