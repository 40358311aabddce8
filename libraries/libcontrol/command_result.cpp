#include "libcontrol/command_result.h"

#include "libadmin/resource_json.h"
#include "libcontrol/format_text.h"
#include "libdocument/diff_documents.h"
#include "libdocument/parse_document.h"

#include <fmt/format.h>

namespace chivevane::control {

namespace {

std::vector<document_change> changes_of(const written_document& written)
{
    const auto before = parse_document(written.m_before);
    const auto after = parse_document(written.m_after);
    if (is_error(after)) {
        return {};
    }
    const document empty_document{value_of(after).m_name};
    return diff_documents(is_error(before) ? empty_document : value_of(before), value_of(after));
}

} // namespace

command_result error_result(const error& failure)
{
    return {exit_code_of(failure.m_kind), "", describe(failure) + '\n'};
}

command_result usage_error_result(std::string_view what)
{
    return {exit_code::bad_input, "", fmt::format("{}\n{}", what, usage())};
}

command_result invalid_document_result(const std::vector<error>& faults)
{
    command_result outcome{exit_code::bad_input, "", ""};
    for (const auto& fault : faults) {
        outcome.m_errors += describe(fault) + '\n';
    }
    return outcome;
}

command_result response_result(const result<api_response>& response, output_format format,
                               const std::function<std::string(const json_value&)>& to_table)
{
    if (is_error(response)) {
        return error_result(error_of(response));
    }
    const auto& text = value_of(response).m_body;
    if (format == output_format::json) {
        return {exit_code::done, text, ""};
    }
    const auto body = json_value::parse(text, nullptr, false);
    if (!body.is_object()) {
        return error_result({error_kind::malformed, "The host sent no JSON object.",
                             "Check that --host names the administration port of a chivevaned."});
    }
    return {exit_code::done, to_table(body), ""};
}

command_result write_result(const std::string& name, const written_document& written,
                            output_format format, std::string_view new_key)
{
    command_result outcome;
    const auto changes = changes_of(written);
    if (written.m_extent == edit_extent::whole_document) {
        outcome.m_errors = "The layout could not be edited in place: the document was written anew "
                           "and its comments are gone.\n";
    }
    if (format == output_format::json) {
        json_value body{{"document", name},
                        {"revision", written.m_revision},
                        {"edit_id", written.m_edit_id},
                        {"changes", changes_json(changes)}};
        if (!new_key.empty()) {
            body["key"] = new_key;
        }
        outcome.m_output = to_text(body);
        return outcome;
    }
    for (const auto& change : changes) {
        outcome.m_output += to_line(change) + '\n';
    }
    outcome.m_output +=
        written.m_edit_id.empty()
            ? fmt::format("document {} unchanged at revision {}\n", name, written.m_revision)
            : fmt::format("document {} revision {} edit {}\n", name, written.m_revision,
                          written.m_edit_id);
    if (!new_key.empty()) {
        outcome.m_output += fmt::format("key {}\n", new_key);
        outcome.m_errors += "The key is shown this once; only its digest is stored.\n";
    }
    return outcome;
}

} // namespace chivevane::control
