#include "libpolicy/ingress/relayed_answer.h"

#include <charconv>
#include <fmt/format.h>
#include <string_view>

namespace chivevane::ingress {

namespace {

constexpr std::uint32_t max_resumptions = 3; // A small service has no more other upstreams.

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

/// Whether the answer has no body, whatever length its head announces.
bool has_no_body(const request_head& request, const response_head& head)
{
    return request.m_method == "HEAD" || head.m_status == 204 || head.m_status == 304;
}

} // namespace

relayed_answer make_relayed_answer(const request_head& request, const response_head& head)
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

bool is_body_complete(const relayed_answer& answer, std::uint64_t bytes)
{
    return !answer.m_length || answer.m_relayed + bytes == *answer.m_length;
}

bool may_resume(const relayed_answer& answer)
{
    return !answer.m_etag.empty() && answer.m_relayed < *answer.m_length &&
           answer.m_resumptions < max_resumptions;
}

request_head make_range_request(const request_head& request, const relayed_answer& answer)
{
    auto range_request = request;
    range_request.m_fields.push_back({"Range", fmt::format("bytes={}-", answer.m_relayed)});
    range_request.m_fields.push_back({"If-Range", answer.m_etag});
    return range_request;
}

bool is_remaining_range(const relayed_answer& answer, const response_head& head)
{
    const auto expected =
        fmt::format("bytes {}-{}/{}", answer.m_relayed, *answer.m_length - 1, *answer.m_length);
    return head.m_status == 206 && strong_etag_of(head) == answer.m_etag &&
           find_field(head.m_fields, "Content-Range") == expected;
}

} // namespace chivevane::ingress
