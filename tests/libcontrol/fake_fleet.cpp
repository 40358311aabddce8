#include "libcontrol/fake_fleet.h"

#include "libadmin/answer_admin_request.h"
#include "libbase/digest.h"
#include "libdocument/parse_document.h"
#include "libpolicy/configuration/configuration.h"

#include <fmt/format.h>

namespace chivevane::test {

using namespace control;

namespace {

error transport_failure(error_kind kind)
{
    return {kind, "no answer", "try again"};
}

} // namespace

std::string initial_document()
{
    return fmt::format("# Rules of the marsh.\n"
                       "document: marsh\n"
                       "organisations:\n"
                       "  - name: parish # the office\n"
                       "    rate: 10\n"
                       "    burst: 20\n"
                       "    keys:\n"
                       "      - {{name: first, digest: {}}}\n"
                       "services: [{{name: tides}}]\n"
                       "routes: [{{name: notes, path_prefix: /t, service: tides}}]\n",
                       sha256_hex("first"));
}

fake_fleet::fake_fleet()
{
    membership_state members;
    for (const auto* const number : {"1", "2", "3"}) {
        const auto name = fmt::format("marsh-{}", number);
        const auto ip = fmt::format("127.0.1.{}", number);
        members.m_members[name].m_record = {{name, 7}, "marsh", {ip, 2, 1, 0, 3}};
    }
    members.m_members["marsh-3"].m_status = member_status::dead;
    for (const auto* const number : {"1", "2"}) {
        const auto address = fmt::format("127.0.1.{}:3", number);
        auto& host = m_hosts[address];
        host.m_settings.m_self = {fmt::format("marsh-{}", number), 7};
        host.m_membership = members;
        host.m_configuration.m_own_name = host.m_settings.m_self.m_name;
        put_in_force(address, {"marsh", 1, "first-edit", initial_document()});
    }
}

command_result fake_fleet::run(const std::vector<std::string>& words)
{
    const session client{
        m_addresses, m_token,
        [this](const std::string& host, const api_request& request) { return send(host, request); },
        [this] { return fmt::format("secret-{:05}", ++m_random_hex_count); },
        [this](duration time) { m_slept += time; }};
    return run_command(words, m_options, client, [this](const std::string& path) {
        const auto found = m_files.find(path);
        return found == m_files.end()
                   ? result<std::string>{transport_failure(error_kind::not_found)}
                   : result<std::string>{found->second};
    });
}

void fake_fleet::edit_as_other_operator(const std::string& text)
{
    const auto revision = stored().m_revision + 1;
    for (const auto& [address, host] : m_hosts) {
        put_in_force(address, {"marsh", revision, "edit-of-another", text});
    }
}

const stored_document& fake_fleet::stored() const
{
    return m_hosts.begin()->second.m_configuration.m_documents.at("marsh").m_stored;
}

result<api_response> fake_fleet::send(const std::string& host, const api_request& request)
{
    const auto found = m_hosts.find(host);
    auto fault = write_fault::none;
    if (request.m_method == "PUT" && !m_faults.empty()) {
        fault = m_faults.front();
        m_faults.pop_front();
    }
    if (found == m_hosts.end() || fault == write_fault::connection_refused) {
        return transport_failure(error_kind::unavailable);
    }
    if (fault == write_fault::request_lost) {
        return transport_failure(error_kind::unknown_outcome);
    }
    if (fault == write_fault::store_outcome_unknown) {
        return api_response{
            504, {}, R"({"title":"The store did not answer.","outcome":"unknown"})"};
    }
    if (fault == write_fault::concurrent_edit) {
        edit_as_other_operator(initial_document() + "datacentres_out: [elsewhere]\n");
    }
    const host_counters counters;
    const request_head head{request.m_method, request.m_target, request.m_fields};
    const auto decided = answer_admin_request(
        {found->second, m_timelines[host], counters, "token-of-operators", instant{}},
        {1, head, request.m_body, "fresh-edit"});
    if (const auto* const submission = std::get_if<document_submitted>(&decided)) {
        auto response = submit(*submission);
        if (fault == write_fault::response_lost_then_concurrent_edit) {
            edit_as_other_operator(initial_document());
        }
        return fault == write_fault::none || fault == write_fault::concurrent_edit
                   ? result<api_response>{response}
                   : result<api_response>{transport_failure(error_kind::unknown_outcome)};
    }
    const auto& response = *std::get_if<respond>(&decided);
    return api_response{response.m_head.m_status, response.m_head.m_fields, response.m_body};
}

api_response fake_fleet::submit(const document_submitted& submission)
{
    const auto& documents = m_hosts.begin()->second.m_configuration.m_documents;
    const auto known = documents.find(submission.m_name);
    const auto current = known == documents.end() ? 0 : known->second.m_stored.m_revision;
    if (submission.m_expected_revision != current) {
        return {412, {}, fmt::format("{{\"current_revision\":{}}}", current)};
    }
    for (const auto& [address, host] : m_hosts) {
        put_in_force(address,
                     {submission.m_name, current + 1, submission.m_edit_id, submission.m_text});
    }
    ++m_writes;
    return {200, {}, fmt::format("{{\"revision\":{}}}", current + 1)};
}

void fake_fleet::put_in_force(const std::string& host, const stored_document& stored)
{
    auto& configuration = m_hosts[host].m_configuration;
    configuration.m_documents[stored.m_name] = {
        stored, std::make_shared<const document>(value_of(parse_document(stored.m_text)))};
}

} // namespace chivevane::test
