#pragma once

#include "libdocument/yaml_tree.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chivevane {

/// Adds `item` to the list `field` of `map` and leaves all other text as it is. Returns nothing if
/// the layout is not supported. The caller must parse the returned text and discard it if it does
/// not have the intended content.
std::optional<std::string> insert_list_item(std::string_view text, const yaml_node& map,
                                            std::string_view field, std::string_view item);

/// Removes an item of a list and leaves all other text as it is. Returns nothing if the layout is
/// not supported. The caller must check the returned text as for `insert_list_item`.
std::optional<std::string> remove_list_item(std::string_view text, const yaml_node& list,
                                            std::size_t index);

} // namespace chivevane
