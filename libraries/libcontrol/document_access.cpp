#include "libcontrol/document_access.h"

#include "libadmin/json_text.h"

#include <charconv>
#include <fmt/format.h>
#include <optional>

namespace chivevane::control {

namespace {

constexpr int max_sends = 4;                // of one write whose answers are lost
constexpr int max_races = 5;                // lost before an edit is given up
constexpr int max_settle_reads = 10;        // until a host shows a write of the store
constexpr duration settle_interval = 300ms; // a host learns of a write within a second or so

std::string target_of(const std::string& name)
{
    return "/v1/documents/" + name;
}

std::uint64_t revision_of(const api_response& answer)
{
    const auto tag = find_field(answer.m_fields, "ETag").value_or("");
    std::uint64_t revision = 0;
    if (tag.size() > 2) {
        std::from_chars(tag.data() + 1, tag.data() + tag.size(), revision);
    }
    return revision;
}

std::optional<std::uint64_t> number_field(const api_response& answer, const char* name)
{
    const auto body = json_value::parse(answer.m_body, nullptr, false);
    if (!body.is_object() || !body.contains(name) || !body[name].is_number_unsigned()) {
        return std::nullopt;
    }
    return body[name].get<std::uint64_t>();
}

error lost_race(const std::string& name, std::uint64_t base, std::uint64_t current)
{
    const auto now =
        current == 0 ? std::string{"another revision"} : fmt::format("revision {}", current);
    return {error_kind::conflict,
            fmt::format("{} has {} by now; the edit was made for revision {}. Nothing was changed.",
                        name, now, base),
            "Look at `chivevanectl get`, make the edit again and apply it."};
}

error unsettled(const std::string& name, const std::string& edit_id)
{
    return {error_kind::unknown_outcome,
            fmt::format("It is not known whether edit {} of {} took effect.", edit_id, name),
            "Wait, then read the document: it took effect if `chivevanectl get` shows it. "
            "Sending it again is safe, since a write names the revision that it replaces."};
}

/// Sends a write to the first host that can be reached.
result<api_response> send_write(const session& access, const api_request& request)
{
    error last{error_kind::unavailable, "No host was named.", "Give --host=ip:port."};
    for (const auto& host : access.m_hosts) {
        auto answer = send_to(access, host, request);
        if (is_error(answer) && error_of(answer).m_kind == error_kind::unavailable) {
            last = error_of(answer);
            continue;
        }
        if (!is_error(answer) && value_of(answer).m_status != 200 &&
            error_of_problem(value_of(answer)).m_kind == error_kind::unavailable) {
            last = error_of_problem(value_of(answer));
            continue;
        }
        return answer;
    }
    return last;
}

/// What became of a write whose answer was lost. Empty: the old revision is still in force.
std::optional<result<std::uint64_t>> settle(const session& access, const std::string& name,
                                            std::uint64_t base, const std::string& edit_id)
{
    for (int reads = 0; reads < max_settle_reads; ++reads) {
        access.m_sleep(settle_interval);
        const auto read = read_current(access, name);
        if (is_error(read) || value_of(read).m_revision <= base) {
            continue;
        }
        const auto& current = value_of(read);
        if (current.m_edit_id == edit_id) {
            return current.m_revision;
        }
        // One revision further somebody else won; beyond that, this write may lie in between.
        return current.m_revision == base + 1 ? lost_race(name, base, current.m_revision)
                                              : unsettled(name, edit_id);
    }
    return std::nullopt;
}

api_request make_write(const std::string& name, const std::string& text, std::uint64_t base,
                       const std::string& edit_id)
{
    const http_field condition = base == 0 ? http_field{"If-None-Match", "*"}
                                           : http_field{"If-Match", fmt::format("\"{}\"", base)};
    return {"PUT",
            target_of(name),
            {condition, {"X-Edit-Id", edit_id}, {"Content-Type", "application/yaml"}},
            text};
}

/// Whether the write may be in force although no answer says so.
bool is_unknown(const result<api_response>& answer)
{
    return (is_error(answer) && error_of(answer).m_kind == error_kind::unknown_outcome) ||
           (!is_error(answer) && value_of(answer).m_status != 200 &&
            error_of_problem(value_of(answer)).m_kind == error_kind::unknown_outcome);
}

error refusal_of(const result<api_response>& answer, const std::string& name, std::uint64_t base)
{
    if (is_error(answer)) {
        return error_of(answer);
    }
    if (value_of(answer).m_status == 412) {
        return lost_race(name, base,
                         number_field(value_of(answer), "current_revision").value_or(0));
    }
    return error_of_problem(value_of(answer));
}

/// Sends a write until its outcome is known; the revision that it made.
result<std::uint64_t> write_until_settled(const session& access, const std::string& name,
                                          std::uint64_t base, const std::string& edit_id,
                                          const api_request& request)
{
    bool was_lost = false;
    for (int sends = 0; sends < max_sends; ++sends) {
        const auto answer = send_write(access, request);
        if (!is_error(answer) && value_of(answer).m_status == 200) {
            return number_field(value_of(answer), "revision").value_or(base + 1);
        }
        was_lost = was_lost || is_unknown(answer);
        if (!was_lost) {
            return refusal_of(answer, name, base);
        }
        if (auto outcome = settle(access, name, base, edit_id)) {
            return std::move(*outcome);
        }
    }
    return unsettled(name, edit_id);
}

} // namespace

result<current_document> read_current(const session& access, const std::string& name)
{
    auto answer = read_from_any(access, target_of(name));
    if (is_error(answer)) {
        if (error_of(answer).m_kind == error_kind::not_found) {
            return current_document{};
        }
        return error_of(answer);
    }
    auto& read = *std::get_if<api_response>(&answer);
    const auto edit_id = find_field(read.m_fields, "X-Edit-Id").value_or("");
    return current_document{revision_of(read), std::string{edit_id}, std::move(read.m_body)};
}

result<written_document> write_text(const session& access, const std::string& name,
                                    const std::string& text, std::uint64_t base)
{
    written_document written;
    written.m_edit_id = access.m_make_secret();
    const auto request = make_write(name, text, base, written.m_edit_id);
    const auto revision = write_until_settled(access, name, base, written.m_edit_id, request);
    if (is_error(revision)) {
        return error_of(revision);
    }
    written.m_revision = value_of(revision);
    written.m_extent = edit_extent::in_place;
    written.m_after = text;
    return written;
}

result<written_document> edit_current(const session& access, const std::string& name,
                                      const document_edit& edit, race_policy policy)
{
    const int rounds = policy == race_policy::edit_again ? max_races : 1;
    error lost{error_kind::conflict, "", ""};
    for (int round = 0; round < rounds; ++round) {
        const auto read = read_current(access, name);
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
        auto written = write_text(access, name, text, current.m_revision);
        if (!is_error(written)) {
            auto& made = *std::get_if<written_document>(&written);
            made.m_before = current.m_text;
            made.m_extent = extent;
            return written;
        }
        lost = error_of(written);
        if (lost.m_kind != error_kind::conflict) {
            return lost;
        }
        access.m_sleep(settle_interval);
    }
    return lost;
}

} // namespace chivevane::control
