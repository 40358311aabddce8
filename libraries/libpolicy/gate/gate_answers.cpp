#include "libpolicy/gate/gate_answers.h"

#include "libwire/attempt_metadata.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace chivevane::gate {

namespace {

std::string_view execution_status_name(request_outcome outcome)
{
    return outcome == request_outcome::not_run ? "not-run" : "run";
}

void add_field(response_head& head, std::string_view name, std::string_view value)
{
    head.m_fields.push_back({std::string{name}, std::string{value}});
}

} // namespace

std::int64_t clock_reading(instant now)
{
    return now.time_since_epoch().count();
}

void add_attempt_fields(reducer_context& context, response_head& head, const attempt_id& attempt,
                        std::string_view status)
{
    add_field(head, attempt_field, to_string(attempt));
    add_field(head, execution_status_field, status);
    add_field(head, gate_clock_field, std::to_string(clock_reading(context.m_now)));
}

void answer_refusal(reducer_context& context, exchange_id exchange, const attempt_id& attempt,
                    const refusal& reason, std::string_view crashed_run,
                    std::vector<http_field> more_fields)
{
    auto answer = make_refusal(exchange, reason);
    answer.m_body.clear(); // The ingress writes its own body.
    std::erase_if(answer.m_head.m_fields,
                  [](const http_field& field) { return field.m_name == "Content-Type"; });
    add_attempt_fields(context, answer.m_head, attempt, execution_status_name(reason.m_outcome));
    add_field(answer.m_head, reason_field, to_string(reason.m_kind));
    if (!crashed_run.empty()) {
        add_field(answer.m_head, crashed_run_field, crashed_run);
    }
    std::move(more_fields.begin(), more_fields.end(), std::back_inserter(answer.m_head.m_fields));
    emit(context, std::move(answer));
}

void add_load_field(response_head& head, const admission::load& load, std::uint32_t slots)
{
    add_field(head, load_field, fmt::format("{}/{}/{}", load.m_running, slots, load.m_queued));
}

void request_clock_reading(reducer_context& context, exchange_id exchange,
                           const attempt_id& attempt)
{
    auto answer = make_refusal(exchange, {refusal_kind::overloaded});
    add_attempt_fields(context, answer.m_head, attempt,
                       execution_status_name(request_outcome::not_run));
    add_field(answer.m_head, reason_field, clock_required);
    add_field(answer.m_head, final_refusal_field, "1");
    emit(context, std::move(answer));
}

} // namespace chivevane::gate
