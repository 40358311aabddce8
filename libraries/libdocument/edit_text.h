#pragma once

#include "libdocument/yaml_tree.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chivevane {

/// Adds `item` to the list called `field` of `map` by changing only the lines where it stands. The
/// outcome is a proposal: the caller parses it and discards it if it says something else.
std::optional<std::string> insert_list_item(std::string_view text, const yaml_node& map,
                                            std::string_view field, std::string_view item);

/// Removes an item of a list by changing only the lines where it stands. A proposal as above.
std::optional<std::string> remove_list_item(std::string_view text, const yaml_node& list,
                                            std::size_t index);

} // namespace chivevane
