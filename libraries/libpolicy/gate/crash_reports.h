#pragma once

#include "libpolicy/context.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace chivevane {

struct node_state;
struct gate_attempt;

} // namespace chivevane

/// Tells the hosts of a service which requests were in flight when an upstream broke off.
namespace chivevane::gate {

/// Notes that the upstream broke off while it ran `attempt`. Returns the strike.
std::string report_break(node_state& node, context& surroundings, const gate_attempt& attempt);

/// Notes that the upstream survived the suspected request of `attempt`.
void report_survival(node_state& node, context& surroundings, const gate_attempt& attempt);

/// Sends the reports that are due.
void send_reports(node_state& node, context& surroundings);

} // namespace chivevane::gate
