#include "libdocument/yaml_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <optional>

namespace chivevane {

namespace {

constexpr std::size_t max_name_length = 64;
constexpr std::size_t max_faults = 100; // An operator does not read more at once.

bool is_letter_or_digit(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9');
}

std::string join_path(std::string_view parent, std::string_view field)
{
    return parent.empty() ? std::string{field} : fmt::format("{}.{}", parent, field);
}

/// Parses a plain scalar as a number. Returns nothing unless the whole scalar is a number.
template <typename Value>
std::optional<Value> parse_number(const yaml_node& node)
{
    Value value{};
    const auto* const end = node.m_scalar.data() + node.m_scalar.size();
    const auto [parsed_end, error_code] = std::from_chars(node.m_scalar.data(), end, value);
    if (node.m_kind != yaml_kind::scalar || node.m_is_quoted || error_code != std::errc{} ||
        parsed_end != end) {
        return std::nullopt;
    }
    return value;
}

template <typename Value>
Value read_number(const yaml_place& place, value_bounds<Value> bounds, std::string_view type,
                  fault_list& faults)
{
    const auto value = parse_number<Value>(*place.m_node);
    if (!value) {
        add_fault(faults, error_kind::wrong_type, place, fmt::format("the value is no {}.", type),
                  fmt::format("Give a {} from {} to {}.", type, bounds.m_min, bounds.m_max));
        return bounds.m_min;
    }
    // The comparison is negated so that NaN is out of range too.
    if (!(*value >= bounds.m_min && *value <= bounds.m_max)) {
        add_fault(faults, error_kind::out_of_range, place,
                  fmt::format("{} is not in {} to {}.", *value, bounds.m_min, bounds.m_max),
                  fmt::format("Give a {} from {} to {}.", type, bounds.m_min, bounds.m_max));
        return bounds.m_min;
    }
    return *value;
}

} // namespace

void add_fault(fault_list& faults, error_kind kind, const yaml_place& place, std::string_view what,
               std::string_view remedy)
{
    if (faults.size() >= max_faults) {
        return;
    }
    const std::string_view path =
        place.m_path.empty() ? std::string_view{"top level"} : place.m_path;
    faults.push_back({kind, fmt::format("line {}, {}: {}", place.m_node->m_line, path, what),
                      std::string{remedy}});
}

std::string read_text(const yaml_place& place, fault_list& faults)
{
    if (place.m_node->m_kind != yaml_kind::scalar) {
        add_fault(faults, error_kind::wrong_type, place, "the value is no text.",
                  "Give one text there.");
        return {};
    }
    return place.m_node->m_scalar;
}

std::vector<yaml_place> read_items(const yaml_place& place, fault_list& faults)
{
    const yaml_node& node = *place.m_node;
    std::vector<yaml_place> items;
    if (node.m_kind != yaml_kind::sequence && node.m_kind != yaml_kind::null) {
        add_fault(faults, error_kind::wrong_type, place, "the value is no list.",
                  "Give a list there, also for a single item.");
    }
    items.reserve(node.m_items.size());
    for (const auto& item : node.m_items) {
        items.push_back({&item, fmt::format("{}[{}]", place.m_path, items.size())});
    }
    return items;
}

bool is_name(std::string_view name)
{
    return !name.empty() && name.size() <= max_name_length && is_letter_or_digit(name.front()) &&
           std::all_of(name.begin(), name.end(), [](char character) {
               return is_letter_or_digit(character) || character == '-' || character == '_' ||
                      character == '.';
           });
}

std::string read_name(const yaml_place& place, fault_list& faults)
{
    const auto fault_count_before = faults.size();
    auto name = read_text(place, faults);
    if (faults.size() == fault_count_before && !is_name(name)) {
        add_fault(faults, error_kind::out_of_range, place, "the value is no name.",
                  "Use 1 to 64 letters, digits, -, _ or ., and begin with a letter or digit.");
    }
    return name;
}

yaml_map_reader::yaml_map_reader(yaml_place place,
                                 std::initializer_list<std::string_view> known_fields,
                                 fault_list& faults)
    : m_place{std::move(place)}, m_faults{faults}
{
    const yaml_node& node = *m_place.m_node;
    if (node.m_kind != yaml_kind::map) {
        add_fault(m_faults, error_kind::wrong_type, m_place, "the value has no fields.",
                  "Give fields of the form name: value there.");
    }
    for (const auto& field : node.m_fields) {
        yaml_node key_node;
        key_node.m_line = field.m_line;
        const yaml_place key{&key_node, join_path(m_place.m_path, field.m_name)};
        if (std::find(known_fields.begin(), known_fields.end(), field.m_name) ==
            known_fields.end()) {
            add_fault(m_faults, error_kind::unknown_field, key, "there is no such field.",
                      fmt::format("Remove it, or use one of {}.", fmt::join(known_fields, ", ")));
        }
        else if (find_yaml_field(node, field.m_name) != &field) {
            add_fault(m_faults, error_kind::duplicate, key, "the field stands twice.",
                      "Keep one of them.");
        }
    }
}

bool yaml_map_reader::has(std::string_view field) const
{
    const auto* const found = find_yaml_field(*m_place.m_node, field);
    return found != nullptr && found->m_value.m_kind != yaml_kind::null;
}

yaml_place yaml_map_reader::place_of(std::string_view field) const
{
    const auto* const found = find_yaml_field(*m_place.m_node, field);
    return {found == nullptr ? m_place.m_node : &found->m_value, join_path(m_place.m_path, field)};
}

yaml_place yaml_map_reader::required(std::string_view field)
{
    if (has(field)) {
        return place_of(field);
    }
    // The constructor reports a node that is not a map, so its missing fields are not reported too.
    if (m_place.m_node->m_kind == yaml_kind::map) {
        fault(error_kind::missing_field, field, "the field is missing.",
              fmt::format("Add {} there.", field));
    }
    return {};
}

std::string yaml_map_reader::text(std::string_view field)
{
    const auto place = required(field);
    return place.m_node == nullptr ? std::string{} : read_text(place, m_faults);
}

std::string yaml_map_reader::text_or(std::string_view field, std::string_view fallback)
{
    return has(field) ? text(field) : std::string{fallback};
}

std::string yaml_map_reader::name(std::string_view field)
{
    const auto place = required(field);
    return place.m_node == nullptr ? std::string{} : read_name(place, m_faults);
}

std::string yaml_map_reader::name_or(std::string_view field, std::string_view fallback)
{
    return has(field) ? name(field) : std::string{fallback};
}

double yaml_map_reader::number(std::string_view field, value_bounds<double> bounds)
{
    const auto place = required(field);
    return place.m_node == nullptr ? bounds.m_min : read_number(place, bounds, "number", m_faults);
}

double yaml_map_reader::number_or(std::string_view field, value_bounds<double> bounds,
                                  double fallback)
{
    return has(field) ? number(field, bounds) : fallback;
}

std::int64_t yaml_map_reader::integer(std::string_view field, value_bounds<std::int64_t> bounds)
{
    const auto place = required(field);
    return place.m_node == nullptr ? bounds.m_min
                                   : read_number(place, bounds, "whole number", m_faults);
}

std::int64_t yaml_map_reader::integer_or(std::string_view field, value_bounds<std::int64_t> bounds,
                                         std::int64_t fallback)
{
    return has(field) ? integer(field, bounds) : fallback;
}

bool yaml_map_reader::flag_or(std::string_view field, bool fallback)
{
    if (!has(field)) {
        return fallback;
    }
    const yaml_node& node = *place_of(field).m_node;
    const bool is_plain = node.m_kind == yaml_kind::scalar && !node.m_is_quoted;
    if (!is_plain || (node.m_scalar != "true" && node.m_scalar != "false")) {
        fault(error_kind::wrong_type, field, "the value is neither true nor false.",
              "Write true or false without quotes.");
        return fallback;
    }
    return node.m_scalar == "true";
}

std::vector<yaml_place> yaml_map_reader::items(std::string_view field)
{
    return has(field) ? read_items(place_of(field), m_faults) : std::vector<yaml_place>{};
}

void yaml_map_reader::fault(error_kind kind, std::string_view field, std::string_view what,
                            std::string_view remedy)
{
    add_fault(m_faults, kind, place_of(field), what, remedy);
}

} // namespace chivevane
