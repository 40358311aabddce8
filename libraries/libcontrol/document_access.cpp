#include "libcontrol/document_access.h"

#include "libadmin/json_text.h"

#include <charconv>
#include <fmt/format.h>
#include <optional>

namespace chivevane::control {

namespace {

/// Limits how often one write is sent while its outcome is unknown.
constexpr int max_write_attempts = 4;

/// Limits how often an edit is tried while it fails with revision conflicts.
constexpr int max_edit_attempts = 5;

/// A host applies a write of the store within about a second; ten reads 300 ms apart cover that
/// with a margin. The interval also separates the attempts of an edit.
constexpr int max_read_backs = 10;
constexpr duration read_back_interval = 300ms;

std::string target_of(const std::string& name)
{
    return "/v1/documents/" + name;
}

std::uint64_t revision_of(const api_response& response)
{
    const auto tag = find_field(response.m_fields, "ETag").value_or("");
    std::uint64_t revision = 0;
    if (tag.size() > 2) {
        std::from_chars(tag.data() + 1, tag.data() + tag.size(), revision);
    }
    return revision;
}

std::optional<std::uint64_t> number_field(const api_response& response, const char* name)
{
    const auto body = json_value::parse(response.m_body, nullptr, false);
    if (!body.is_object() || !body.contains(name) || !body[name].is_number_unsigned()) {
        return std::nullopt;
    }
    return body[name].get<std::uint64_t>();
}

error conflict_error(const std::string& name, std::uint64_t base_revision, std::uint64_t current)
{
    const auto now =
        current == 0 ? std::string{"another revision"} : fmt::format("revision {}", current);
    return {error_kind::conflict,
            fmt::format("{} has {} by now; the edit was made for revision {}. Nothing was changed.",
                        name, now, base_revision),
            "Look at `chivevanectl get`, make the edit again and apply it."};
}

error unknown_outcome_error(const std::string& name, const std::string& edit_id)
{
    return {error_kind::unknown_outcome,
            fmt::format("It is not known whether edit {} of {} took effect.", edit_id, name),
            "Wait, then read the document: it took effect if `chivevanectl get` shows it. "
            "Sending it again is safe, since a write names the revision that it replaces."};
}

/// Sends a write to the hosts in order until one does not fail with `unavailable`, which means that
/// the write was not executed.
result<api_response> send_write(const session& client, const api_request& request)
{
    error last_error{error_kind::unavailable, "No host was named.", "Give --host=ip:port."};
    for (const auto& host : client.m_hosts) {
        auto response = send_to(client, host, request);
        if (is_error(response) && error_of(response).m_kind == error_kind::unavailable) {
            last_error = error_of(response);
            continue;
        }
        if (!is_error(response) && value_of(response).m_status != 200 &&
            error_of_problem(value_of(response)).m_kind == error_kind::unavailable) {
            last_error = error_of_problem(value_of(response));
            continue;
        }
        return response;
    }
    return last_error;
}

/// Reads the document back after the outcome of a write was unknown. Returns the new revision if
/// the write took effect, an error if another write took effect or the outcome cannot be known, and
/// nothing if no read showed a newer revision than `base_revision`.
std::optional<result<std::uint64_t>> determine_write_outcome(const session& client,
                                                             const std::string& name,
                                                             std::uint64_t base_revision,
                                                             const std::string& edit_id)
{
    for (int reads = 0; reads < max_read_backs; ++reads) {
        client.m_sleep(read_back_interval);
        const auto read = read_current_document(client, name);
        if (is_error(read) || value_of(read).m_revision <= base_revision) {
            continue;
        }
        const auto& current = value_of(read);
        if (current.m_edit_id == edit_id) {
            return current.m_revision;
        }
        // If the next revision has another edit id, another write replaced `base_revision` first.
        // If the document is more than one revision ahead, this write may be one of those in
        // between.
        return current.m_revision == base_revision + 1
                   ? conflict_error(name, base_revision, current.m_revision)
                   : unknown_outcome_error(name, edit_id);
    }
    return std::nullopt;
}

api_request make_write(const std::string& name, const std::string& text,
                       std::uint64_t base_revision, const std::string& edit_id)
{
    const http_field condition = base_revision == 0
                                     ? http_field{"If-None-Match", "*"}
                                     : http_field{"If-Match", fmt::format("\"{}\"", base_revision)};
    return {"PUT",
            target_of(name),
            {condition, {"X-Edit-Id", edit_id}, {"Content-Type", "application/yaml"}},
            text};
}

/// Whether the write may have taken effect although no response confirms it.
bool is_outcome_unknown(const result<api_response>& response)
{
    return (is_error(response) && error_of(response).m_kind == error_kind::unknown_outcome) ||
           (!is_error(response) && value_of(response).m_status != 200 &&
            error_of_problem(value_of(response)).m_kind == error_kind::unknown_outcome);
}

error rejection_error(const result<api_response>& response, const std::string& name,
                      std::uint64_t base_revision)
{
    if (is_error(response)) {
        return error_of(response);
    }
    if (value_of(response).m_status == 412) {
        return conflict_error(name, base_revision,
                              number_field(value_of(response), "current_revision").value_or(0));
    }
    return error_of_problem(value_of(response));
}

/// Sends a write until its outcome is known and returns the revision that it created.
result<std::uint64_t> write_until_outcome_known(const session& client, const std::string& name,
                                                std::uint64_t base_revision,
                                                const std::string& edit_id,
                                                const api_request& request)
{
    bool was_outcome_unknown = false;
    for (int sends = 0; sends < max_write_attempts; ++sends) {
        const auto response = send_write(client, request);
        if (!is_error(response) && value_of(response).m_status == 200) {
            return number_field(value_of(response), "revision").value_or(base_revision + 1);
        }
        was_outcome_unknown = was_outcome_unknown || is_outcome_unknown(response);
        if (!was_outcome_unknown) {
            return rejection_error(response, name, base_revision);
        }
        if (auto outcome = determine_write_outcome(client, name, base_revision, edit_id)) {
            return std::move(*outcome);
        }
    }
    return unknown_outcome_error(name, edit_id);
}

} // namespace

result<current_document> read_current_document(const session& client, const std::string& name)
{
    auto response = read_from_any(client, target_of(name));
    if (is_error(response)) {
        if (error_of(response).m_kind == error_kind::not_found) {
            return current_document{};
        }
        return error_of(response);
    }
    auto& read = *std::get_if<api_response>(&response);
    const auto edit_id = find_field(read.m_fields, "X-Edit-Id").value_or("");
    return current_document{revision_of(read), std::string{edit_id}, std::move(read.m_body)};
}

result<written_document> write_text(const session& client, const std::string& name,
                                    const std::string& text, std::uint64_t base_revision)
{
    written_document written;
    written.m_edit_id = client.m_generate_random_hex();
    const auto request = make_write(name, text, base_revision, written.m_edit_id);
    const auto revision =
        write_until_outcome_known(client, name, base_revision, written.m_edit_id, request);
    if (is_error(revision)) {
        return error_of(revision);
    }
    written.m_revision = value_of(revision);
    written.m_extent = edit_extent::in_place;
    written.m_after = text;
    return written;
}

result<written_document> edit_current_document(const session& client, const std::string& name,
                                               const document_edit& edit, conflict_policy policy)
{
    const int rounds = policy == conflict_policy::retry ? max_edit_attempts : 1;
    error last_error{error_kind::conflict, "", ""};
    for (int round = 0; round < rounds; ++round) {
        const auto read = read_current_document(client, name);
        if (is_error(read)) {
            return error_of(read);
        }
        const auto& current = value_of(read);
        if (current.m_revision == 0) {
            return error{error_kind::not_found, fmt::format("There is no document {}.", name),
                         "Correct the name, or apply the document first."};
        }
        const auto edited = edit(current.m_text);
        if (is_error(edited)) {
            return error_of(edited);
        }
        const auto& [text, extent] = value_of(edited);
        if (extent == edit_extent::nothing) {
            return written_document{current.m_revision, "", extent, current.m_text, text};
        }
        auto written = write_text(client, name, text, current.m_revision);
        if (!is_error(written)) {
            auto& committed = *std::get_if<written_document>(&written);
            committed.m_before = current.m_text;
            committed.m_extent = extent;
            return written;
        }
        last_error = error_of(written);
        if (last_error.m_kind != error_kind::conflict) {
            return last_error;
        }
        client.m_sleep(read_back_interval);
    }
    return last_error;
}

} // namespace chivevane::control
