#include "libadmin/answer_admin_request.h"

#include "libadmin/admin_problem.h"
#include "libadmin/explanation_json.h"
#include "libadmin/metrics_text.h"
#include "libadmin/parse_admin_request.h"
#include "libadmin/resource_json.h"
#include "libbase/digest.h"
#include "libbase/result.h"
#include "libdocument/parse_document.h"
#include "libpolicy/explain/explain_request.h"

#include <fmt/format.h>

namespace chivevane {

namespace {

respond respond_with_json(const admin_request& request, const json_value& body)
{
    return {request.m_exchange, {200, {{"Content-Type", "application/json"}}}, to_text(body)};
}

respond respond_with_problem(const admin_request& request, const admin_problem& problem)
{
    return make_problem(request.m_exchange, problem);
}

/// Returns whether the request has the operator token. Digests are compared in constant time, so
/// that the time taken reveals neither the content nor the length of the token.
bool has_token(const request_head& head, std::string_view token)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto credentials = find_field(head.m_fields, "Authorization").value_or("");
    const bool has_scheme = credentials.size() > scheme.size() &&
                            equal_ignoring_case(credentials.substr(0, scheme.size()), scheme);
    return has_scheme && !token.empty() &&
           equal_in_constant_time(sha256_hex(credentials.substr(scheme.size())), sha256_hex(token));
}

const document_in_force* find_document(const admin_view& view, std::string_view name)
{
    const auto& documents = view.m_host_state.m_configuration.m_documents;
    const auto found = documents.find(name);
    return found == documents.end() ? nullptr : &found->second;
}

/// Returns the document in the body of `request`, or a problem that lists its faults.
std::variant<document, admin_problem> read_body(const admin_request& request,
                                                const std::string& name)
{
    auto parsed = parse_document_fully(request.m_body);
    if (auto* const faults = std::get_if<std::vector<error>>(&parsed)) {
        return admin_problem{admin_problem_kind::invalid_document, "", std::move(*faults)};
    }
    auto& parsed_document = *std::get_if<document>(&parsed);
    if (parsed_document.m_name != name) {
        const error fault{error_kind::out_of_range,
                          fmt::format("document: the text says `{}`, the path `{}`.",
                                      parsed_document.m_name, name),
                          "Send the document to the path of its own name."};
        return admin_problem{admin_problem_kind::invalid_document, "", {fault}};
    }
    return std::move(parsed_document);
}

admin_decision answer(const admin_view& view, const admin_request& request, const list_documents&)
{
    return respond_with_json(request, documents_json(view));
}

admin_decision answer(const admin_view& view, const admin_request& request,
                      const read_document& command)
{
    const auto* const in_force = find_document(view, command.m_name);
    if (in_force == nullptr) {
        return respond_with_problem(request, {admin_problem_kind::no_document});
    }
    const auto& stored = in_force->m_stored;
    return respond{request.m_exchange,
                   {200,
                    {{"Content-Type", "application/yaml"},
                     {"ETag", fmt::format("\"{}\"", stored.m_revision)},
                     {"X-Edit-Id", stored.m_edit_id}}},
                   stored.m_text};
}

admin_decision answer(const admin_view& view, const admin_request& request,
                      const write_document& command)
{
    auto read = read_body(request, command.m_name);
    if (const auto* const problem = std::get_if<admin_problem>(&read)) {
        return respond_with_problem(request, *problem);
    }
    if (command.m_condition == write_condition::must_exist &&
        find_document(view, command.m_name) == nullptr) {
        return respond_with_problem(
            request, {admin_problem_kind::revision_conflict, "There is no such document yet."});
    }
    document_submitted submission;
    submission.m_exchange = request.m_exchange;
    submission.m_name = command.m_name;
    submission.m_text = request.m_body;
    submission.m_edit_id = command.m_edit_id.empty() ? request.m_fresh_edit_id : command.m_edit_id;
    if (command.m_condition != write_condition::must_exist) {
        submission.m_expected_revision = command.m_revision;
    }
    return submission;
}

admin_decision answer(const admin_view& view, const admin_request& request,
                      const check_document& command)
{
    auto read = read_body(request, command.m_name);
    if (const auto* const problem = std::get_if<admin_problem>(&read)) {
        return respond_with_problem(request, *problem);
    }
    const auto* const in_force = find_document(view, command.m_name);
    const document nothing{command.m_name};
    const auto changes = diff_documents(in_force == nullptr ? nothing : *in_force->m_document,
                                        std::get<document>(read));
    return respond_with_json(
        request,
        json_value{{"valid", true},
                   {"against_revision", in_force == nullptr ? 0 : in_force->m_stored.m_revision},
                   {"changes", changes_json(changes)}});
}

admin_decision answer(const admin_view& view, const admin_request& request,
                      const read_rollout& command)
{
    const auto* const in_force = find_document(view, command.m_name);
    if (in_force == nullptr) {
        return respond_with_problem(request, {admin_problem_kind::no_document});
    }
    return respond_with_json(request, rollout_json(view, *in_force));
}

admin_decision answer(const admin_view& view, const admin_request& request, const list_hosts&)
{
    return respond_with_json(request, hosts_json(view));
}

admin_decision answer(const admin_view&, const admin_request& request,
                      const declare_host_dead& command)
{
    return host_declared_dead{request.m_exchange, command.m_name};
}

admin_decision answer(const admin_view& view, const admin_request& request, const list_upstreams&)
{
    return respond_with_json(request, upstreams_json(view));
}

admin_decision answer(const admin_view& view, const admin_request& request,
                      const list_organisations& command)
{
    return respond_with_json(request, organisations_json(view, command));
}

admin_decision answer(const admin_view& view, const admin_request& request,
                      const read_timeline& command)
{
    return respond_with_json(request, timeline_json(view, command));
}

admin_decision answer(const admin_view& view, const admin_request& request,
                      const read_explanation& command)
{
    const auto query = make_explanation_query(view, command);
    if (const auto* const problem = std::get_if<admin_problem>(&query)) {
        return respond_with_problem(request, *problem);
    }
    const auto explanation =
        explain_request(view.m_host_state, view.m_now, std::get<explanation_query>(query));
    return respond_with_json(request, explanation_json(explanation));
}

admin_decision answer(const admin_view& view, const admin_request& request, const read_metrics&)
{
    return respond{request.m_exchange,
                   {200, {{"Content-Type", "text/plain; version=0.0.4"}}},
                   format_metrics(view)};
}

} // namespace

admin_decision answer_admin_request(const admin_view& view, const admin_request& request)
{
    if (!has_token(request.m_head, view.m_operator_token)) {
        return respond_with_problem(request, {admin_problem_kind::token_refused});
    }
    const auto parsed = parse_admin_request(request.m_head);
    if (const auto* const problem = std::get_if<admin_problem>(&parsed)) {
        return respond_with_problem(request, *problem);
    }
    return std::visit([&](const auto& command) { return answer(view, request, command); },
                      *std::get_if<admin_command>(&parsed));
}

} // namespace chivevane
