#pragma once

#include "libbase/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

/// The kind of a YAML node.
enum class yaml_kind : std::uint8_t { null, scalar, sequence, map };

/// Whether a collection is written with indentation (block) or with brackets (flow).
enum class yaml_style : std::uint8_t { block, flow };

struct yaml_field;

/// One node of a YAML text with its line and column. Aliases, tags and anchors are not supported.
struct yaml_node {
    yaml_kind m_kind = yaml_kind::null;
    yaml_style m_style = yaml_style::block;
    bool m_is_quoted = false;
    std::uint32_t m_line = 0;   ///< The line of the first character; counts from 1.
    std::uint32_t m_column = 0; ///< The column of the first character; counts from 0.
    std::string m_scalar;
    std::vector<yaml_node> m_items;   ///< The items of a sequence.
    std::vector<yaml_field> m_fields; ///< The fields of a map in text order, duplicates included.
};

/// One field of a map: its name, the position of the name, and its value.
struct yaml_field {
    std::string m_name;
    std::uint32_t m_line = 0;
    std::uint32_t m_column = 0;
    yaml_node m_value;
};

/// The limits on a text that `parse_yaml` accepts.
struct yaml_limits {
    std::size_t m_bytes = 1'000'000;
    std::size_t m_depth = 16;      ///< Documents and settings nest 6 levels deep at most.
    std::size_t m_nodes = 300'000; ///< A document of a megabyte has about 120,000.
};

/// Parses one YAML text. Aliases are rejected instead of expanded, so that the tree does not grow
/// beyond the text. Size, depth and node count are checked before a node is built.
result<yaml_node> parse_yaml(std::string_view text, const yaml_limits& limits = {});

/// Returns the first field called `name`, or null if there is none.
const yaml_field* find_yaml_field(const yaml_node& map, std::string_view name);

} // namespace chivevane
