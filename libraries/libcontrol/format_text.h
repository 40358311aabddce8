#pragma once

#include "libadmin/json_text.h"

#include <string>
#include <string_view>
#include <vector>

namespace chivevane::control {

/// Rows of cells under a header, with columns as wide as their widest cell.
std::string format_table(const std::vector<std::string>& header,
                         const std::vector<std::vector<std::string>>& rows);

/// Columns of the objects in a JSON array as a table.
std::string format_objects(const json_value& objects, const std::vector<std::string>& columns);

/// Milliseconds since the Unix epoch in the form 2026-01-31T23:59:59.999Z.
std::string format_wall_time(std::int64_t wall_ms);

/// One entry of a time line on one line.
std::string format_entry(const json_value& entry);

/// A JSON value as text without quotes; null as a dash.
std::string format_cell(const json_value& value);

} // namespace chivevane::control
