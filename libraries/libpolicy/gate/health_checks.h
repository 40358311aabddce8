#pragma once

#include "libpolicy/identifiers.h"
#include "libpolicy/reducer_context.h"
#include "libpolicy/transfer_events.h"

#include <string_view>

namespace chivevane {

struct gate_state;
struct host_state;

} // namespace chivevane

/// Sends health checks to a busy upstream to learn whether it is still warm.
///
/// An upstream can become cold at any moment and reports it only in its next announcement. The gate
/// therefore starts no more attempts in any second than a cold upstream tolerates. Earlier starts
/// no longer count once the answer to a health check that was sent after them shows that the
/// upstream was warm. An upstream with little load gets no health checks. Health checks play no
/// part in failure detection, which uses the answers to requests alone.
namespace chivevane::gate {

/// Sends a health check if the warm-up state of the upstream needs confirmation, its service has a
/// health path and the last check was sent long enough ago.
void check_health_if_due(host_state& self, reducer_context& context, std::string_view endpoint);

bool owns_health_check(const gate_state& state, transfer_id transfer);

void on_health_check_answer(host_state& self, reducer_context& context,
                            const transfer_head& answer);

void on_health_check_ended(gate_state& state, const transfer_ended& end);

/// Cancels the health checks that have timed out.
void expire_health_checks(gate_state& state, reducer_context& context);

/// When the next health check times out.
instant next_health_check_timeout(const gate_state& state);

} // namespace chivevane::gate
