#include "libpolicy/configuration/document_record.h"

#include <charconv>
#include <fmt/format.h>

namespace chivevane {

namespace {

constexpr std::string_view record_mark = "chivevane-document-1";

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
                       stored.m_edit_id, stored.m_text);
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
    stored.m_edit_id = *edit;
    stored.m_text = bytes;
    return stored;
}

} // namespace chivevane
