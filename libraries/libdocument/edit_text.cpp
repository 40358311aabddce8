#include "libdocument/edit_text.h"

#include <algorithm>
#include <fmt/format.h>

namespace chivevane {

namespace {

constexpr std::size_t indentation_spaces = 2;

/// Returns the offset of the first byte of a line, or the end of the text if there is no such line.
/// Lines count from 1.
std::size_t line_offset(std::string_view text, std::size_t line)
{
    std::size_t offset = 0;
    for (std::size_t number = 1; number < line; ++number) {
        const auto end = text.find('\n', offset);
        if (end == std::string_view::npos) {
            return text.size();
        }
        offset = end + 1;
    }
    return offset;
}

std::size_t offset_of(std::string_view text, const yaml_node& node)
{
    return std::min(line_offset(text, node.m_line) + node.m_column, text.size());
}

/// Returns the last line on which `node` or any node in it begins.
std::uint32_t last_line(const yaml_node& node)
{
    auto last = node.m_line;
    for (const auto& item : node.m_items) {
        last = std::max(last, last_line(item));
    }
    for (const auto& field : node.m_fields) {
        last = std::max({last, field.m_line, last_line(field.m_value)});
    }
    return last;
}

std::string insert_at(std::string_view text, std::size_t offset, std::string_view addition)
{
    return fmt::format("{}{}{}", text.substr(0, offset), addition, text.substr(offset));
}

std::string insert_after_line(std::string_view text, std::uint32_t line, std::string_view addition)
{
    const auto offset = line_offset(text, line + 1);
    const bool lacks_line_end = offset == text.size() && !text.ends_with('\n');
    return insert_at(text, offset, fmt::format("{}{}", lacks_line_end ? "\n" : "", addition));
}

/// Inserts `addition` after the opening bracket of a flow collection.
std::optional<std::string> insert_after_bracket(std::string_view text, const yaml_node& collection,
                                                std::string_view addition)
{
    const auto offset = offset_of(text, collection);
    if (offset >= text.size() || (text[offset] != '[' && text[offset] != '{')) {
        return std::nullopt;
    }
    const bool is_empty = collection.m_items.empty() && collection.m_fields.empty();
    return insert_at(text, offset + 1, fmt::format("{}{}", addition, is_empty ? "" : ", "));
}

std::optional<std::string> insert_into_list(std::string_view text, const yaml_node& list,
                                            std::string_view item)
{
    if (list.m_style == yaml_style::flow) {
        return insert_after_bracket(text, list, item);
    }
    if (list.m_items.empty()) {
        return std::nullopt;
    }
    const auto& last = list.m_items.back();
    const auto line = text.substr(line_offset(text, last.m_line), last.m_column);
    const auto dash = line.rfind('-');
    if (dash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto addition = fmt::format("{:{}}- {}\n", "", dash, item);
    return insert_after_line(text, last_line(last), addition);
}

/// Returns the end offset of the flow map or the plain or quoted scalar that begins at `offset`.
std::optional<std::size_t> end_of_flow_item(std::string_view text, const yaml_node& item,
                                            std::size_t offset)
{
    if (item.m_kind == yaml_kind::scalar) {
        return offset + item.m_scalar.size() + (item.m_is_quoted ? 2 : 0);
    }
    const auto brace = text.find('}', offset);
    return brace == std::string_view::npos ? std::nullopt : std::optional{brace + 1};
}

/// Removes an item together with the comma that separates it from its neighbour.
std::optional<std::string> remove_flow_item(std::string_view text, const yaml_node& item)
{
    auto begin = offset_of(text, item);
    auto end = end_of_flow_item(text, item, begin);
    if (!end || *end > text.size()) {
        return std::nullopt;
    }
    const auto next = text.find_first_not_of(' ', *end);
    const auto previous = text.find_last_not_of(' ', begin - 1);
    if (next != std::string_view::npos && text[next] == ',') {
        end = std::min(text.find_first_not_of(' ', next + 1), text.size());
    }
    else if (previous != std::string_view::npos && text[previous] == ',') {
        begin = previous;
    }
    return fmt::format("{}{}", text.substr(0, begin), text.substr(*end));
}

} // namespace

std::optional<std::string> insert_list_item(std::string_view text, const yaml_node& map,
                                            std::string_view field, std::string_view item)
{
    if (const auto* const list = find_yaml_field(map, field)) {
        if (list->m_value.m_kind == yaml_kind::null) {
            const auto indent = list->m_column + indentation_spaces;
            return insert_after_line(text, list->m_line,
                                     fmt::format("{:{}}- {}\n", "", indent, item));
        }
        return insert_into_list(text, list->m_value, item);
    }
    if (map.m_style == yaml_style::flow) {
        return insert_after_bracket(text, map, fmt::format("{}: [{}]", field, item));
    }
    if (map.m_fields.empty()) {
        return std::nullopt;
    }
    const auto& first = map.m_fields.front();
    const auto addition = fmt::format("{0:{1}}{2}:\n{0:{3}}- {4}\n", "", first.m_column, field,
                                      first.m_column + indentation_spaces, item);
    return insert_after_line(text, last_line(first.m_value), addition);
}

std::optional<std::string> remove_list_item(std::string_view text, const yaml_node& list,
                                            std::size_t index)
{
    const auto& item = list.m_items.at(index);
    if (list.m_style == yaml_style::flow) {
        return remove_flow_item(text, item);
    }
    const auto begin = line_offset(text, item.m_line);
    const auto end = line_offset(text, last_line(item) + 1);
    return fmt::format("{}{}", text.substr(0, begin), text.substr(end));
}

} // namespace chivevane
