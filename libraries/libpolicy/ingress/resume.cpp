#include "libpolicy/ingress/resume.h"

#include <charconv>
#include <fmt/format.h>
#include <string_view>

namespace chivevane::ingress {

namespace {

constexpr std::uint32_t max_resumptions = 3; // One for each other upstream of a small service.

std::optional<std::uint64_t> parse_length(std::string_view digits)
{
    std::uint64_t length = 0;
    const auto* const end = digits.data() + digits.size();
    const auto [stop, problem] = std::from_chars(digits.data(), end, length);
    return problem == std::errc{} && stop == end ? std::optional{length} : std::nullopt;
}

std::string strong_etag_of(const response_head& head)
{
    const auto etag = find_field(head.m_fields, "ETag").value_or("");
    const bool is_strong = etag.size() >= 2 && etag.starts_with('"') && etag.ends_with('"');
    return is_strong ? std::string{etag} : std::string{};
}

/// Whether answers to `request` have no body, whatever length they announce.
bool has_no_body(const request_head& request, const response_head& head)
{
    return request.m_method == "HEAD" || head.m_status == 204 || head.m_status == 304;
}

} // namespace

relayed_answer begin_answer(const request_head& request, const response_head& head)
{
    relayed_answer answer;
    const auto length = find_field(head.m_fields, "Content-Length");
    if (length && !has_no_body(request, head)) {
        answer.m_length = parse_length(*length);
    }
    const bool is_plain_download =
        request.m_method == "GET" && head.m_status == 200 && !find_field(request.m_fields, "Range");
    if (is_plain_download && answer.m_length) {
        answer.m_etag = strong_etag_of(head);
    }
    return answer;
}

bool is_whole(const relayed_answer& answer, std::uint64_t bytes)
{
    return !answer.m_length || answer.m_relayed + bytes == *answer.m_length;
}

bool may_resume(const relayed_answer& answer)
{
    return !answer.m_etag.empty() && answer.m_relayed < *answer.m_length &&
           answer.m_resumptions < max_resumptions;
}

request_head request_for_rest(const request_head& request, const relayed_answer& answer)
{
    auto rest = request;
    rest.m_fields.push_back({"Range", fmt::format("bytes={}-", answer.m_relayed)});
    rest.m_fields.push_back({"If-Range", answer.m_etag});
    return rest;
}

bool is_rest_of(const relayed_answer& answer, const response_head& head)
{
    const auto wanted =
        fmt::format("bytes {}-{}/{}", answer.m_relayed, *answer.m_length - 1, *answer.m_length);
    return head.m_status == 206 && strong_etag_of(head) == answer.m_etag &&
           find_field(head.m_fields, "Content-Range") == wanted;
}

} // namespace chivevane::ingress
