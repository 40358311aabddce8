#pragma once

#include "libdocument/yaml_tree.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

/// The faults found in a text, up to 100. Reading continues after a fault, so that one pass finds
/// all of them.
using fault_list = std::vector<error>;

/// A node and its path from the root, such as `routes[2].service`.
struct yaml_place {
    const yaml_node* m_node = nullptr;
    std::string m_path;
};

/// The inclusive range of allowed values.
template <typename Value>
struct value_bounds {
    Value m_min;
    Value m_max;
};

/// Adds the fault `what` with the line and the path of `place`. Does nothing if the list is full.
void add_fault(fault_list& faults, error_kind kind, const yaml_place& place, std::string_view what,
               std::string_view remedy);

/// Returns the text of a scalar. Any other node is a fault and gives an empty text.
std::string read_text(const yaml_place& place, fault_list& faults);

/// Returns the items of a sequence. A null node gives no items; any other node is a fault.
std::vector<yaml_place> read_items(const yaml_place& place, fault_list& faults);

/// Returns whether `name` is a valid name in documents and settings: 1 to 64 letters, digits, `-`,
/// `_` or `.`, of which the first is a letter or digit. Such names are safe in paths, header fields
/// and store keys.
bool is_name(std::string_view name);

/// Returns the text of a scalar like `read_text`. A text that is not a valid name is a fault.
std::string read_name(const yaml_place& place, fault_list& faults);

/// Reads the typed fields of one map. The constructor reports unknown and repeated fields as
/// faults. Reading a field that is missing or invalid adds a fault and returns a placeholder value.
class yaml_map_reader {
public:
    yaml_map_reader(yaml_place place, std::initializer_list<std::string_view> known_fields,
                    fault_list& faults);

    /// Returns whether the field is present and not null.
    bool has(std::string_view field) const;

    /// Returns the node and the path of the field. If the field is absent, the node is the map.
    yaml_place place_of(std::string_view field) const;

    std::string text(std::string_view field);
    std::string text_or(std::string_view field, std::string_view fallback);
    std::string name(std::string_view field);
    std::string name_or(std::string_view field, std::string_view fallback);
    double number(std::string_view field, value_bounds<double> bounds);
    double number_or(std::string_view field, value_bounds<double> bounds, double fallback);
    std::int64_t integer(std::string_view field, value_bounds<std::int64_t> bounds);
    std::int64_t integer_or(std::string_view field, value_bounds<std::int64_t> bounds,
                            std::int64_t fallback);
    bool flag_or(std::string_view field, bool fallback);
    std::vector<yaml_place> items(std::string_view field);

    /// Adds a fault with the line and the path of `field`.
    void fault(error_kind kind, std::string_view field, std::string_view what,
               std::string_view remedy);

private:
    /// Returns the node and the path of a required field. If the field is absent or null, adds a
    /// fault and returns a null node.
    yaml_place required(std::string_view field);

    yaml_place m_place;
    fault_list& m_faults;
};

} // namespace chivevane
