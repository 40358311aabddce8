#include "libhost/admin_listener.h"

#include "libbase/digest.h"

#include <charconv>
#include <fmt/format.h>

namespace chivevane {

namespace {

constexpr std::string_view documents_prefix = "/v1/documents/";

respond plain(const received_request& request, std::uint16_t status, std::string body)
{
    return {request.m_exchange, {status, {}}, std::move(body)};
}

std::optional<std::uint64_t> expected_revision(const request_head& head)
{
    auto text = find_field(head.m_fields, "If-Match").value_or("");
    std::uint64_t revision = 0;
    if (text.starts_with('"')) {
        text.remove_prefix(1);
    }
    const auto [stop, problem] = std::from_chars(text.data(), text.data() + text.size(), revision);
    if (problem != std::errc{}) {
        return std::nullopt;
    }
    return revision;
}

} // namespace

std::variant<respond, document_submitted> decide_admin_request(const received_request& request,
                                                               const admin_view& view)
{
    const auto& head = request.m_head;
    const auto token = find_field(head.m_fields, "Authorization").value_or("");
    if (!equal_in_constant_time(token, fmt::format("Bearer {}", view.m_operator_token))) {
        return plain(request, 401, "send the operator token\n");
    }
    const std::string_view target = head.m_target;
    if (!target.starts_with(documents_prefix)) {
        return plain(request, 404, "no such resource\n");
    }
    const std::string name{target.substr(documents_prefix.size())};
    if (head.m_method == "PUT") {
        return document_submitted{request.m_exchange, name, *request.m_body,
                                  expected_revision(head), random_hex(16)};
    }
    const auto found = view.m_node.m_configuration.m_documents.find(name);
    if (found == view.m_node.m_configuration.m_documents.end()) {
        return plain(request, 404, "no such document\n");
    }
    auto answer = plain(request, 200, found->second.m_stored.m_text);
    answer.m_head.m_fields.push_back(
        {"ETag", fmt::format("\"{}\"", found->second.m_stored.m_revision)});
    return answer;
}

} // namespace chivevane
