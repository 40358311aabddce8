#include "libpolicy/forwarding.h"

#include "libwire/attempt_metadata.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace chivevane {

namespace {

constexpr std::array<std::string_view, 9> hop_by_hop_fields{"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Authenticate",
                                                            "Proxy-Authorization",
                                                            "Proxy-Connection",
                                                            "TE",
                                                            "Trailer",
                                                            "Transfer-Encoding",
                                                            "Upgrade"};

/// End-to-end fields that are not forwarded: the caller's key, the length of the body, which the
/// client sets for each transfer, and Expect.
constexpr std::array<std::string_view, 4> removed_request_fields{"Authorization", "X-Api-Key",
                                                                 "Content-Length", "Expect"};

bool is_among(std::span<const std::string_view> names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [name](std::string_view candidate) {
        return equal_ignoring_case(candidate, name);
    });
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Whether a Connection field of `fields` lists `name` as a hop-by-hop field.
bool is_named_by_connection(std::span<const http_field> fields, std::string_view name)
{
    for (const auto& field : fields) {
        if (!equal_ignoring_case(field.m_name, "Connection")) {
            continue;
        }
        std::string_view rest = field.m_value;
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            if (equal_ignoring_case(trimmed(rest.substr(0, comma)), name)) {
                return true;
            }
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return false;
}

std::vector<http_field> end_to_end_fields(const std::vector<http_field>& fields)
{
    std::vector<http_field> kept;
    for (const auto& field : fields) {
        if (!is_among(hop_by_hop_fields, field.m_name) &&
            !is_named_by_connection(fields, field.m_name)) {
            kept.push_back(field);
        }
    }
    remove_internal_fields(kept);
    return kept;
}

} // namespace

request_head forwardable_request(const request_head& head)
{
    request_head forwarded{head.m_method, head.m_target, end_to_end_fields(head.m_fields)};
    std::erase_if(forwarded.m_fields, [](const http_field& field) {
        return is_among(removed_request_fields, field.m_name);
    });
    return forwarded;
}

response_head forwardable_response(const response_head& head)
{
    return {head.m_status, end_to_end_fields(head.m_fields)};
}

} // namespace chivevane
