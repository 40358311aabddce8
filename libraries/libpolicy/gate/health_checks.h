#pragma once

#include "libpolicy/context.h"
#include "libpolicy/identifiers.h"
#include "libpolicy/transfer_events.h"

#include <string_view>

namespace chivevane {

struct gate_state;
struct node_state;

} // namespace chivevane

/// Asks a busy upstream for its health, to learn whether it is still warm.
///
/// An upstream may become cold at any moment and tells it with its next announcement only. So the
/// gate starts no more attempts than a cold one bears unless an answer to a health check, asked
/// after the earlier ones, shows that the upstream was warm. Upstreams with little work are never
/// asked. Whether an upstream fails is judged by its answers to requests alone.
namespace chivevane::gate {

/// Asks the upstream if it needs it, has a health path and was not asked a moment ago.
void check_health_if_due(node_state& node, context& surroundings, std::string_view endpoint);

bool owns_health_check(const gate_state& state, transfer_id transfer);

void on_health_head(node_state& node, context& surroundings, const transfer_head& answer);

void on_health_check_ended(gate_state& state, const transfer_ended& end);

/// Gives up the health checks that have got no answer in time.
void expire_health_checks(gate_state& state, context& surroundings);

/// When `expire_health_checks` may next have something to do.
instant next_health_check_end(const gate_state& state);

} // namespace chivevane::gate
