#pragma once

#include "libpolicy/admission/admission.h"
#include "libpolicy/context.h"
#include "libpolicy/refusal.h"
#include "libwire/attempt_id.h"
#include "libwire/response_head.h"

#include <string_view>
#include <vector>

namespace chivevane::gate {

/// Reason of a refusal that asks for a reading of the gate's clock; never shown to callers.
constexpr std::string_view clock_required = "clock-required";

/// The gate's clock as it is sent to ingresses, in microseconds.
std::int64_t clock_reading(instant now);

/// Adds the fields by which an ingress knows an answer as that of `attempt`.
void add_echo(context& surroundings, response_head& head, const attempt_id& attempt,
              std::string_view fate);

/// Answers an attempt that gets no answer from its upstream. `strike` is the run of the upstream
/// that broke off, if one did. `more_fields` are added to the head.
void answer_refusal(context& surroundings, exchange_id exchange, const attempt_id& attempt,
                    const refusal& reason, std::string_view strike = {},
                    std::vector<http_field> more_fields = {});

/// Adds how busy the upstream is; see `load_field`.
void add_load(response_head& head, const admission::load& load, std::uint32_t slots);

/// Asks the ingress to send the attempt anew with a reading of this gate's clock.
void ask_for_clock(context& surroundings, exchange_id exchange, const attempt_id& attempt);

} // namespace chivevane::gate
