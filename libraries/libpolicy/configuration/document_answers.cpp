#include "libpolicy/configuration/document_answers.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace chivevane::configuration {

namespace {

using nlohmann::ordered_json;

respond answer(const document_submitted& submission, std::uint16_t status, const char* content_type,
               const ordered_json& body)
{
    // Text from documents may contain bytes that are not UTF-8. They are replaced, as JSON forbids
    // them.
    auto text = body.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n";
    return {submission.m_exchange, {status, {{"Content-Type", content_type}}}, std::move(text)};
}

ordered_json problem(std::string_view name, std::string_view title, std::uint16_t status,
                     std::string_view remedy, std::string_view outcome)
{
    return {{"type", fmt::format("urn:chivevane:problem:{}", name)},
            {"title", title},
            {"status", status},
            {"detail", remedy},
            {"outcome", outcome}};
}

respond refuse(const document_submitted& submission, const ordered_json& body)
{
    return answer(submission, body["status"], "application/problem+json", body);
}

} // namespace

respond answer_accepted(const document_submitted& submission, std::uint64_t revision)
{
    return answer(submission, 200, "application/json",
                  {{"document", submission.m_name},
                   {"revision", revision},
                   {"edit_id", submission.m_edit_id}});
}

respond answer_conflict(const document_submitted& submission, std::uint64_t current_revision,
                        const std::string& current_edit)
{
    auto body =
        problem("revision-conflict", "The document has another revision than expected.", 412,
                "Get the current revision, repeat the change on it and send it again.", "not-done");
    body["expected_revision"] = submission.m_expected_revision.value_or(0);
    body["current_revision"] = current_revision;
    body["current_edit_id"] = current_edit;
    return refuse(submission, body);
}

respond answer_invalid(const document_submitted& submission, const error& fault)
{
    auto body = problem("document-invalid", fault.m_message, 422, fault.m_remedy, "not-done");
    body["kind"] = to_string(fault.m_kind);
    return refuse(submission, body);
}

respond answer_unavailable(const document_submitted& submission)
{
    return refuse(submission,
                  problem("store-unavailable", "The configuration store cannot be reached.", 503,
                          "Nothing was changed. Send the edit again later.", "not-done"));
}

respond answer_unknown(const document_submitted& submission)
{
    auto body = problem("outcome-unknown", "The store did not tell whether it took the edit.", 504,
                        "Read the document back and compare its edit id, or send the same edit "
                        "with the same edit id again.",
                        "unknown");
    body["edit_id"] = submission.m_edit_id;
    return refuse(submission, body);
}

} // namespace chivevane::configuration
