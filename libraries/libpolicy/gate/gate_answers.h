#pragma once

#include "libpolicy/admission/admission.h"
#include "libpolicy/reducer_context.h"
#include "libpolicy/refusal.h"
#include "libwire/attempt_id.h"
#include "libwire/response_head.h"

#include <string_view>
#include <vector>

namespace chivevane::gate {

/// Reason of a refusal that asks the ingress for a reading of the gate's clock. Callers never see
/// it.
constexpr std::string_view clock_required = "clock-required";

/// The gate's clock as it is sent to ingresses, in microseconds.
std::int64_t clock_reading(instant now);

/// Adds the fields that identify an answer as that of `attempt`, with its execution status and a
/// reading of the gate's clock.
void add_attempt_fields(reducer_context& context, response_head& head, const attempt_id& attempt,
                        std::string_view status);

/// Answers an attempt in place of its upstream. `crashed_run` names the upstream run whose
/// connection broke on this request, if there is one. `more_fields` are added to the head.
void answer_refusal(reducer_context& context, exchange_id exchange, const attempt_id& attempt,
                    const refusal& reason, std::string_view crashed_run = {},
                    std::vector<http_field> more_fields = {});

/// Adds the load of the upstream; see `load_field`.
void add_load_field(response_head& head, const admission::load& load, std::uint32_t slots);

/// Asks the ingress to send the attempt again with a reading of this gate's clock.
void request_clock_reading(reducer_context& context, exchange_id exchange,
                           const attempt_id& attempt);

} // namespace chivevane::gate
