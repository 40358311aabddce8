#include "libbase/log_line.h"

#include <algorithm>
#include <glog/logging.h>

namespace chivevane {

namespace {

bool needs_quotes(std::string_view value)
{
    const auto is_special = [](unsigned char character) {
        return character <= ' ' || character == '"' || character == '=' || character == 0x7f;
    };
    return value.empty() || std::any_of(value.begin(), value.end(), is_special);
}

void append_quoted(std::string& text, std::string_view value)
{
    text += '"';
    for (const char character : value) {
        const auto code = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            text += '\\';
            text += character;
        }
        else if (code < ' ' || code == 0x7f) {
            fmt::format_to(std::back_inserter(text), "\\x{:02x}", code);
        }
        else {
            text += character;
        }
    }
    text += '"';
}

} // namespace

log_line::log_line(std::string_view event_name)
{
    add("event", event_name);
}

log_line& log_line::add(std::string_view key, std::string_view value)
{
    if (!m_text.empty()) {
        m_text += ' ';
    }
    m_text += key;
    m_text += '=';
    if (needs_quotes(value)) {
        append_quoted(m_text, value);
    }
    else {
        m_text += value;
    }
    return *this;
}

void write_log(const log_line& line)
{
    LOG(INFO) << line.text();
}

void write_warning(const log_line& line)
{
    LOG(WARNING) << line.text();
}

} // namespace chivevane
