#include "libpolicy/configuration/document_record.h"

#include <charconv>
#include <fmt/format.h>

namespace chivevane {

namespace {

/// First line of a record, which identifies the format and its version.
constexpr std::string_view record_mark = "chivevane-document-1";

/// Returns a line with the edit id and the earlier edit ids. Edit ids contain no spaces, so a space
/// separates them.
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

/// Removes the first line from `rest` and returns it without its line end; empty if `rest` has no
/// line end.
std::optional<std::string_view> next_line(std::string_view& rest)
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
    const auto mark = next_line(bytes);
    const auto name = next_line(bytes);
    const auto digits = next_line(bytes);
    const auto edit = next_line(bytes);
    if (mark != record_mark || !name || !digits || !edit) {
        return std::nullopt;
    }
    stored_document stored;
    const auto* end = digits->data() + digits->size();
    const auto [stop, code] = std::from_chars(digits->data(), end, stored.m_revision);
    if (code != std::errc{} || stop != end) {
        return std::nullopt;
    }
    stored.m_name = *name;
    read_edit_line(stored, *edit);
    stored.m_text = bytes;
    return stored;
}

} // namespace chivevane
