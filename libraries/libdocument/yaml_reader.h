#pragma once

#include "libdocument/yaml_tree.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane {

/// What is wrong with a text, up to a hundred faults. Reading goes on after a fault, so that one
/// pass finds them all.
using fault_list = std::vector<error>;

/// A node with its path from the root, such as `routes[2].service`.
struct yaml_place {
    const yaml_node* m_node = nullptr;
    std::string m_path;
};

/// The least and the greatest value allowed, both included.
template <typename Value>
struct value_bounds {
    Value m_least;
    Value m_greatest;
};

/// Adds the fault `what` at `place`, with its line and path. A full list stays as it is.
void add_fault(fault_list& faults, error_kind kind, const yaml_place& place, std::string_view what,
               std::string_view remedy);

/// The text of a scalar; a fault and an empty text for anything else.
std::string read_text(const yaml_place& place, fault_list& faults);

/// The items of a sequence. Null stands for an empty one.
std::vector<yaml_place> read_items(const yaml_place& place, fault_list& faults);

/// Whether `name` may name a thing in documents and settings: 1 to 64 letters, digits, `-`, `_` or
/// `.`, the first a letter or digit. Such names are safe in paths, header fields and store keys.
bool is_name(std::string_view name);

/// `read_text` with a fault unless the text is a name.
std::string read_name(const yaml_place& place, fault_list& faults);

/// Reads the typed fields of one map. Unknown and repeated fields are faults from the start; a
/// field that is missing or wrong gives a fault and a harmless value.
class yaml_map_reader {
public:
    yaml_map_reader(yaml_place place, std::initializer_list<std::string_view> known_fields,
                    fault_list& faults);

    /// Whether the field is there and not null.
    bool has(std::string_view field) const;

    /// The place of the field, or of the map if it is absent.
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

    /// Adds a fault at `field`.
    void fault(error_kind kind, std::string_view field, std::string_view what,
               std::string_view remedy);

private:
    /// The place of a required field; adds a fault and gives null if it is absent.
    yaml_place required(std::string_view field);

    yaml_place m_place;
    fault_list& m_faults;
};

} // namespace chivevane
