#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace chivevane {

/// A JSON value that keeps the order of its fields.
using json_value = nlohmann::ordered_json;

/// Formats `value` on one line that ends with a newline. Bytes that are not valid UTF-8 become
/// U+FFFD.
inline std::string to_text(const json_value& value)
{
    return value.dump(-1, ' ', false, json_value::error_handler_t::replace) + '\n';
}

} // namespace chivevane
