#pragma once

#include "libbase/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

/// The kinds of node that a YAML text consists of.
enum class yaml_kind : std::uint8_t { null, scalar, sequence, map };

/// Whether a collection is written with indentation or with brackets.
enum class yaml_style : std::uint8_t { block, flow };

struct yaml_field;

/// One node of a YAML text with its place. It has no aliases, tags or anchors.
struct yaml_node {
    yaml_kind m_kind = yaml_kind::null;
    yaml_style m_style = yaml_style::block;
    bool m_is_quoted = false;
    std::uint32_t m_line = 0;   ///< Counts from 1.
    std::uint32_t m_column = 0; ///< Counts from 0.
    std::string m_scalar;
    std::vector<yaml_node> m_items;   ///< Of a sequence.
    std::vector<yaml_field> m_fields; ///< Of a map, in the order of the text, duplicates included.
};

/// One key of a map with its value.
struct yaml_field {
    std::string m_name;
    std::uint32_t m_line = 0;
    std::uint32_t m_column = 0;
    yaml_node m_value;
};

/// Bounds of what `parse_yaml` accepts.
struct yaml_limits {
    std::size_t m_bytes = 1'000'000;
    std::size_t m_depth = 16;      ///< The formats read here nest no deeper than 6.
    std::size_t m_nodes = 300'000; ///< A document of a megabyte has about 120,000.
};

/// Reads one YAML text. Aliases are refused instead of expanded, so the tree is never larger than
/// the text; size, depth and count are checked before anything is built from them.
result<yaml_node> parse_yaml(std::string_view text, const yaml_limits& limits = {});

/// The first field called `name`; null if there is none.
const yaml_field* find_yaml_field(const yaml_node& map, std::string_view name);

} // namespace chivevane
