#pragma once

#include "libadmin/json_text.h"

#include <string>
#include <string_view>
#include <vector>

namespace chivevane::control {

/// Formats a table whose columns are as wide as their widest cell.
std::string format_table(const std::vector<std::string>& header,
                         const std::vector<std::vector<std::string>>& rows);

/// Formats the fields `columns` of the objects in a JSON array as a table.
std::string format_objects(const json_value& objects, const std::vector<std::string>& columns);

/// Formats milliseconds since the Unix epoch like 2026-01-31T23:59:59.999Z.
std::string format_wall_time(std::int64_t wall_ms);

/// Formats a timeline entry as one line.
std::string format_timeline_entry(const json_value& entry);

/// Formats a JSON value as text without quotes. Null and an empty array become a dash.
std::string format_cell(const json_value& value);

} // namespace chivevane::control
