#include "libdocument/url_path.h"

#include <algorithm>
#include <fmt/format.h>
#include <string>

namespace chivevane {

namespace {

constexpr std::size_t max_path_length = 1'024;

} // namespace

bool is_url_path(std::string_view path)
{
    const bool is_visible = std::all_of(path.begin(), path.end(), [](char character) {
        return character > ' ' && character <= '~' && character != '?' && character != '#';
    });
    const auto with_trailing_slash = fmt::format("{}/", path);
    return path.starts_with('/') && path.size() <= max_path_length && is_visible &&
           with_trailing_slash.find("/./") == std::string::npos &&
           with_trailing_slash.find("/../") == std::string::npos;
}

void check_url_path(yaml_map_reader& reader, std::string_view field, std::string_view path)
{
    if (!path.empty() && !is_url_path(path)) {
        reader.fault(error_kind::out_of_range, field, "the value is no path.",
                     "Begin with /, escape what is not visible ASCII, and leave out query, "
                     "fragment, . and .. segments.");
    }
}

} // namespace chivevane
