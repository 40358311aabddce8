#include "libpolicy/gate/shed_attempts.h"

#include "libpolicy/admission/admission.h"
#include "libpolicy/gate/running_attempts.h"
#include "libpolicy/host_state.h"

namespace chivevane::gate {

namespace {

/// Interval between two log lines of one upstream. An overloaded gate sheds hundreds of attempts in
/// a second, and each process may write 200 lines.
constexpr duration log_interval = 1s;

/// Logs a shed attempt with the number of those that were not logged since the last line.
void record_shed_attempt(host_state& self, reducer_context& context, const shed_attempt& shed)
{
    const auto& attempt = shed.m_attempt;
    const auto found = self.m_gate.m_upstreams.find(attempt.m_endpoint);
    if (found == self.m_gate.m_upstreams.end()) {
        return;
    }
    auto& log = found->second.m_shed_log;
    if (context.m_now < log.m_next_line) {
        ++log.m_left_out;
        return;
    }
    emit(context,
         record_event{
             "attempt-shed",
             {{"attempt", to_string(attempt.m_attempt)},
              {"endpoint", attempt.m_endpoint},
              {"cause", std::string{load_shedding::to_string(shed.m_cause)}},
              {"priority", std::to_string(attempt.m_priority)},
              {"left_ms",
               std::to_string(to_milliseconds(admission::due_time_of(attempt) - context.m_now))},
              {"run_ms", std::to_string(to_milliseconds(attempt.m_expected_run))},
              {"queued",
               std::to_string(admission::load_of(self.m_admission, attempt.m_endpoint).m_queued)},
              {"left_out", std::to_string(log.m_left_out)}},
             record_target::timeline_and_log});
    log = {context.m_now + log_interval, 0};
}

} // namespace

void refuse_shed_attempts(host_state& self, reducer_context& context)
{
    for (const auto& shed : admission::take_shed(self.m_admission, context.m_now)) {
        record_shed_attempt(self, context, shed);
        refuse_attempt(self, context, shed.m_attempt.m_attempt, refusal_kind::overloaded);
    }
}

} // namespace chivevane::gate
