#include "libcontrol/run_command.h"

#include "libadmin/resource_json.h"
#include "libbase/digest.h"
#include "libcontrol/command_result.h"
#include "libcontrol/document_access.h"
#include "libcontrol/explain_command.h"
#include "libcontrol/fleet_commands.h"
#include "libcontrol/format_text.h"
#include "libdocument/diff_documents.h"
#include "libdocument/parse_document.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace chivevane::control {

namespace {

/// The input of a command.
struct invocation {
    std::span<const std::string> m_arguments;
    const command_options& m_options;
    const session& m_client;
    const file_source& m_read_file;
};

/// A document that was read from a file of the operator.
struct document_file {
    std::string m_text;
    document m_document;
};

std::variant<document_file, command_result> load_document(const invocation& call,
                                                          const std::string& path)
{
    auto text = call.m_read_file(path);
    if (is_error(text)) {
        return command_result{exit_code::bad_input, "", describe(error_of(text)) + '\n'};
    }
    auto parsed = parse_document_fully(value_of(text));
    if (const auto* const faults = std::get_if<std::vector<error>>(&parsed)) {
        return invalid_document_result(*faults);
    }
    return document_file{value_of(std::move(text)), std::move(*std::get_if<document>(&parsed))};
}

command_result check(const invocation& call)
{
    const auto loaded = load_document(call, call.m_arguments[0]);
    if (const auto* const load_error = std::get_if<command_result>(&loaded)) {
        return *load_error;
    }
    const auto& parsed_document = std::get_if<document_file>(&loaded)->m_document;
    if (call.m_options.m_output == output_format::json) {
        return {exit_code::done, to_text({{"valid", true}, {"document", parsed_document.m_name}}),
                ""};
    }
    return {exit_code::done,
            fmt::format("document {} is valid: {} organisations, {} services, {} routes\n",
                        parsed_document.m_name, parsed_document.m_organisations.size(),
                        parsed_document.m_services.size(), parsed_document.m_routes.size()),
            ""};
}

command_result apply(const invocation& call)
{
    const auto loaded = load_document(call, call.m_arguments[0]);
    if (const auto* const load_error = std::get_if<command_result>(&loaded)) {
        return *load_error;
    }
    const auto& [text, parsed_document] = *std::get_if<document_file>(&loaded);
    const auto read = read_current_document(call.m_client, parsed_document.m_name);
    if (is_error(read)) {
        return error_result(error_of(read));
    }
    const auto& current = value_of(read);
    const auto base_revision = call.m_options.m_expected_revision.value_or(current.m_revision);
    if (base_revision == current.m_revision && text == current.m_text) {
        return write_result(parsed_document.m_name,
                            {base_revision, "", edit_extent::nothing, text, text},
                            call.m_options.m_output);
    }
    auto written = write_text(call.m_client, parsed_document.m_name, text, base_revision);
    if (is_error(written)) {
        return error_result(error_of(written));
    }
    auto& committed = *std::get_if<written_document>(&written);
    committed.m_before = current.m_text;
    return write_result(parsed_document.m_name, committed, call.m_options.m_output);
}

command_result get(const invocation& call)
{
    const auto& name = call.m_arguments[0];
    const auto read = read_current_document(call.m_client, name);
    if (is_error(read)) {
        return error_result(error_of(read));
    }
    const auto& current = value_of(read);
    if (current.m_revision == 0) {
        return error_result({error_kind::not_found, fmt::format("There is no document {}.", name),
                             "Correct the name, or apply the document first."});
    }
    if (call.m_options.m_output == output_format::json) {
        return {exit_code::done,
                to_text({{"document", name},
                         {"revision", current.m_revision},
                         {"edit_id", current.m_edit_id},
                         {"text", current.m_text}}),
                ""};
    }
    return {exit_code::done, current.m_text,
            fmt::format("revision {} edit {}\n", current.m_revision, current.m_edit_id)};
}

command_result diff(const invocation& call)
{
    const auto loaded = load_document(call, call.m_arguments[1]);
    if (const auto* const load_error = std::get_if<command_result>(&loaded)) {
        return *load_error;
    }
    const auto& parsed_document = std::get_if<document_file>(&loaded)->m_document;
    if (parsed_document.m_name != call.m_arguments[0]) {
        return usage_error_result(fmt::format("The file is document {}.", parsed_document.m_name));
    }
    const auto read = read_current_document(call.m_client, parsed_document.m_name);
    if (is_error(read)) {
        return error_result(error_of(read));
    }
    const auto before = parse_document(value_of(read).m_text);
    const document empty_document{parsed_document.m_name};
    const auto changes =
        diff_documents(is_error(before) ? empty_document : value_of(before), parsed_document);
    if (call.m_options.m_output == output_format::json) {
        return {exit_code::done,
                to_text({{"against_revision", value_of(read).m_revision},
                         {"changes", changes_json(changes)}}),
                ""};
    }
    command_result outcome;
    for (const auto& change : changes) {
        outcome.m_output += to_line(change) + '\n';
    }
    return outcome;
}

command_result edit_and_report(const invocation& call, const document_edit& edit,
                               conflict_policy policy, std::string_view new_key = "")
{
    const auto& name = call.m_arguments[0];
    const auto written = edit_current_document(call.m_client, name, edit, policy);
    if (is_error(written)) {
        return error_result(error_of(written));
    }
    return write_result(name, value_of(written), call.m_options.m_output, new_key);
}

command_result create_key(const invocation& call)
{
    const auto plaintext_key = "cv_" + call.m_client.m_generate_random_hex();
    const api_key key{call.m_arguments[2], sha256_hex(plaintext_key)};
    const auto edit = [&](std::string_view text) {
        return add_key(text, call.m_arguments[1], key);
    };
    return edit_and_report(call, edit, conflict_policy::fail, plaintext_key);
}

command_result remove_key(const invocation& call)
{
    const auto edit = [&](std::string_view text) {
        return withdraw_key(text, call.m_arguments[1], call.m_arguments[2]);
    };
    return edit_and_report(call, edit, conflict_policy::retry);
}

command_result put_datacentre_out(const invocation& call)
{
    const auto edit = [&](std::string_view text) {
        return take_datacentre_out(text, call.m_arguments[1]);
    };
    return edit_and_report(call, edit, conflict_policy::retry);
}

command_result put_datacentre_in(const invocation& call)
{
    const auto edit = [&](std::string_view text) {
        return bring_datacentre_in(text, call.m_arguments[1]);
    };
    return edit_and_report(call, edit, conflict_policy::retry);
}

/// Shows the list `field` of the resource `target`, with `columns` if the output is text.
command_result show_list(const invocation& call, const std::string& target, const char* field,
                         const std::vector<std::string>& columns)
{
    return response_result(
        read_from_any(call.m_client, target), call.m_options.m_output, [&](const json_value& body) {
            return body.contains(field) ? format_objects(body[field], columns) : std::string{};
        });
}

command_result list(const invocation& call)
{
    return show_list(call, "/v1/documents", "documents",
                     {"name", "revision", "organisations", "routes", "edit_id"});
}

command_result hosts(const invocation& call)
{
    return show_list(call, "/v1/hosts", "hosts",
                     {"host", "datacentre", "status", "silent_ms", "upstreams", "ip", "caller_port",
                      "admin_port"});
}

command_result upstreams(const invocation& call)
{
    return show_list(call, "/v1/upstreams", "upstreams",
                     {"service", "host", "endpoint", "datacentre", "datacentre_out", "phase",
                      "warmth", "standing", "share", "slots", "concurrency", "queued"});
}

command_result organisations(const invocation& call)
{
    return show_list(call, "/v1/organisations", "organisations",
                     {"document", "organisation", "rate", "burst", "in_progress", "keys"});
}

command_result rollout(const invocation& call)
{
    return show_rollout(call.m_arguments[0], call.m_options, call.m_client);
}

command_result timeline(const invocation& call)
{
    return show_timeline(call.m_options, call.m_client);
}

command_result explain(const invocation& call)
{
    return show_explanation(call.m_arguments[0], call.m_arguments[1], call.m_options,
                            call.m_client);
}

/// Declares a host dead, so that other hosts take over its rate limit shares. All its processes
/// must have ended. The command is safe to repeat.
command_result declare_host_dead(const invocation& call)
{
    const auto target = fmt::format("/v1/hosts/{}/declare-dead", call.m_arguments[0]);
    error last_error{error_kind::unavailable, "No host was given.", "Name one with --host."};
    for (const auto& host : call.m_client.m_hosts) {
        const auto sent = send_to(call.m_client, host, {"POST", target, {}, {}});
        if (is_error(sent)) {
            last_error = error_of(sent);
            continue;
        }
        if (value_of(sent).m_status != 202) {
            return error_result(error_of_problem(value_of(sent)));
        }
        return {exit_code::done, fmt::format("declared dead: {}\n", call.m_arguments[0]), ""};
    }
    return error_result(last_error);
}

/// A command and the number of its arguments.
struct command_entry {
    std::string_view m_name;
    std::string_view m_subcommand; ///< The second word of the command, or empty.
    std::size_t m_arguments;
    command_result (*m_run)(const invocation&);
};

constexpr std::array commands{
    command_entry{"check", "", 1, check},
    command_entry{"apply", "", 1, apply},
    command_entry{"get", "", 1, get},
    command_entry{"list", "", 0, list},
    command_entry{"diff", "", 2, diff},
    command_entry{"key", "create", 3, create_key},
    command_entry{"key", "withdraw", 3, remove_key},
    command_entry{"datacentre", "out", 2, put_datacentre_out},
    command_entry{"datacentre", "in", 2, put_datacentre_in},
    command_entry{"rollout", "", 1, rollout},
    command_entry{"hosts", "", 0, hosts},
    command_entry{"host", "declare-dead", 1, declare_host_dead},
    command_entry{"upstreams", "", 0, upstreams},
    command_entry{"organisations", "", 0, organisations},
    command_entry{"timeline", "", 0, timeline},
    command_entry{"explain", "", 2, explain},
};

bool matches(const command_entry& entry, std::span<const std::string> words)
{
    return !words.empty() && entry.m_name == words[0] &&
           (entry.m_subcommand.empty() || (words.size() > 1 && entry.m_subcommand == words[1]));
}

} // namespace

command_result run_command(std::span<const std::string> words, const command_options& options,
                           const session& client, const file_source& read_file)
{
    const auto* const entry =
        std::find_if(commands.begin(), commands.end(),
                     [&](const command_entry& candidate) { return matches(candidate, words); });
    if (entry == commands.end()) {
        return usage_error_result("There is no such command.");
    }
    const auto arguments = words.subspan(entry->m_subcommand.empty() ? 1 : 2);
    if (arguments.size() != entry->m_arguments) {
        return usage_error_result(fmt::format("{} {} takes {} arguments.", entry->m_name,
                                              entry->m_subcommand, entry->m_arguments));
    }
    return entry->m_run({arguments, options, client, read_file});
}

std::string_view usage()
{
    return R"(chivevanectl [options] COMMAND
  check FILE                                checks a document without asking a host
  apply FILE                                puts a document in force
  get DOCUMENT                              prints a document
  list                                      lists the documents
  diff DOCUMENT FILE                        prints what applying the file would change
  key create DOCUMENT ORGANISATION KEY      makes a key and shows it once
  key withdraw DOCUMENT ORGANISATION KEY    withdraws a key
  datacentre out DOCUMENT DATACENTRE        takes a data centre out of service
  datacentre in DOCUMENT DATACENTRE         brings it back
  rollout DOCUMENT                          shows on which hosts the revision is in force
  hosts | upstreams | organisations         lists what a host knows
  host declare-dead HOST                    hands on the shares of a host; all its processes must
                                            have ended, or a rate may be exceeded
  timeline                                  merges the time lines of all hosts
  explain METHOD URL-OR-PATH                shows where a request would go now and why; sends none
Options: --host=ip:port,... --token=... --token_file=FILE (or CHIVEVANE_TOKEN) --output=text|json
  --expected_revision=N (apply) --wait=SECONDS (rollout) --hosts=ip:port,... --limit=N (timeline)
  --key=KEY | --key_file=FILE | --organisation=NAME --timeout_ms=N --all (explain)
  --json: the same as --output=json
Exit codes: 0 done, 1 refused, 2 bad input, 3 conflict, 4 unreachable, 5 unknown, 6 incomplete
)";
}

} // namespace chivevane::control
