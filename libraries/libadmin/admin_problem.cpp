#include "libadmin/admin_problem.h"

#include "libadmin/json_text.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <fmt/format.h>

namespace chivevane {

namespace {

struct problem_definition {
    admin_problem_kind m_kind;
    std::uint16_t m_status;
    std::string_view m_name;
    std::string_view m_title;
    std::string_view m_remedy;
};

constexpr std::array problem_definitions{
    problem_definition{
        admin_problem_kind::malformed_condition, 400, "malformed-condition",
        "If-Match or If-None-Match cannot be used.",
        "Send either If-Match with one revision in quotes or *, or If-None-Match: *."},
    problem_definition{admin_problem_kind::malformed_edit_id, 400, "malformed-edit-id",
                       "X-Edit-Id cannot be used.",
                       "Send 8 to 64 letters, digits, -, _ or . that no other edit has."},
    problem_definition{admin_problem_kind::malformed_query, 400, "malformed-query",
                       "A parameter of the query cannot be used.",
                       "Use the parameters that docs/API.md names."},
    problem_definition{admin_problem_kind::token_refused, 401, "token-refused",
                       "The operator token is missing or wrong.",
                       "Send the operator token of the host's settings in Authorization: Bearer."},
    problem_definition{admin_problem_kind::no_resource, 404, "no-resource",
                       "There is no such resource.", "Use a path that docs/API.md names."},
    problem_definition{admin_problem_kind::no_document, 404, "no-document",
                       "No document of this name is in force on this host.",
                       "Correct the name, or create the document with If-None-Match: *."},
    problem_definition{admin_problem_kind::no_organisation, 404, "no-organisation",
                       "No document in force on this host has this organisation.",
                       "Correct the name; /v1/organisations lists them."},
    problem_definition{admin_problem_kind::method_not_allowed, 405, "method-not-allowed",
                       "The resource does not have this method.", "Use a method that Allow names."},
    problem_definition{admin_problem_kind::revision_conflict, 412, "revision-conflict",
                       "The document has another revision than the edit was made for.",
                       "Read the document, make the edit again and send it with the new revision."},
    problem_definition{admin_problem_kind::invalid_document, 422, "invalid-document",
                       "The document has faults; nothing of it was used.", "Mend all the faults."},
    problem_definition{
        admin_problem_kind::condition_missing, 428, "condition-missing",
        "A write must say which revision it replaces.",
        "Send If-Match with the revision read, or If-None-Match: * for a new document."},
};

const problem_definition& definition_of(admin_problem_kind kind)
{
    const auto* const found = std::find_if(
        problem_definitions.begin(), problem_definitions.end(),
        [kind](const problem_definition& definition) { return definition.m_kind == kind; });
    assert(found != problem_definitions.end());
    return *found;
}

json_value faults_of(const std::vector<error>& faults)
{
    auto list = json_value::array();
    for (const auto& fault : faults) {
        list.push_back({{"kind", to_string(fault.m_kind)},
                        {"message", fault.m_message},
                        {"remedy", fault.m_remedy}});
    }
    return list;
}

} // namespace

std::string_view to_string(admin_problem_kind kind)
{
    return definition_of(kind).m_name;
}

std::uint16_t status_of(admin_problem_kind kind)
{
    return definition_of(kind).m_status;
}

respond make_problem(exchange_id exchange, const admin_problem& problem)
{
    const auto& definition = definition_of(problem.m_kind);
    json_value body{{"type", fmt::format("urn:chivevane:problem:{}", definition.m_name)},
                    {"title", definition.m_title},
                    {"status", definition.m_status},
                    {"detail", problem.m_detail.empty()
                                   ? std::string{definition.m_remedy}
                                   : fmt::format("{} {}", problem.m_detail, definition.m_remedy)}};
    if (!problem.m_faults.empty()) {
        body["faults"] = faults_of(problem.m_faults);
    }
    respond response{
        exchange, {definition.m_status, {{"Content-Type", "application/problem+json"}}}, {}};
    if (definition.m_status == 401) {
        response.m_head.m_fields.push_back({"WWW-Authenticate", "Bearer"});
    }
    if (!problem.m_allowed_methods.empty()) {
        response.m_head.m_fields.push_back({"Allow", problem.m_allowed_methods});
    }
    response.m_body = to_text(body);
    return response;
}

} // namespace chivevane
