#include "libpolicy/configuration/document_record.h"

#include <charconv>
#include <fmt/format.h>

namespace chivevane {

namespace {

constexpr std::string_view record_mark = "chivevane-document-1";

/// Ids of edits do not contain blanks: the line holds the edit's own and the earlier ones.
std::string edit_line(const stored_document& stored)
{
    auto line = stored.m_edit_id;
    for (const auto& earlier : stored.m_earlier_edits) {
        line += ' ' + earlier;
    }
    return line;
}

void read_edit_line(stored_document& stored, std::string_view line)
{
    auto end = line.find(' ');
    stored.m_edit_id = line.substr(0, end);
    while (end != std::string_view::npos) {
        line.remove_prefix(end + 1);
        end = line.find(' ');
        stored.m_earlier_edits.emplace_back(line.substr(0, end));
    }
}

/// Cuts the text before the next line end off `rest`.
std::optional<std::string_view> take_line(std::string_view& rest)
{
    const auto end = rest.find('\n');
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    const auto line = rest.substr(0, end);
    rest.remove_prefix(end + 1);
    return line;
}

} // namespace

std::string encode_document_record(const stored_document& stored)
{
    return fmt::format("{}\n{}\n{}\n{}\n{}", record_mark, stored.m_name, stored.m_revision,
                       edit_line(stored), stored.m_text);
}

std::optional<stored_document> decode_document_record(std::string_view bytes)
{
    const auto mark = take_line(bytes);
    const auto name = take_line(bytes);
    const auto digits = take_line(bytes);
    const auto edit = take_line(bytes);
    if (mark != record_mark || !name || !digits || !edit) {
        return std::nullopt;
    }
    stored_document stored;
    const auto* end = digits->data() + digits->size();
    const auto [stop, problem] = std::from_chars(digits->data(), end, stored.m_revision);
    if (problem != std::errc{} || stop != end) {
        return std::nullopt;
    }
    stored.m_name = *name;
    read_edit_line(stored, *edit);
    stored.m_text = bytes;
    return stored;
}

} // namespace chivevane
