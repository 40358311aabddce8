#pragma once

#include "libpolicy/reducer_context.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace chivevane {

struct host_state;
struct gate_attempt;

} // namespace chivevane

/// Reports to the hosts of a service which requests were in flight when the connection to an
/// upstream broke, as the request may have crashed it.
namespace chivevane::gate {

/// Records a crashed run for the request of `attempt`, as the connection to the upstream broke
/// while it ran, and reports the crashed run to the other hosts. Returns the crashed run.
std::string report_broken_connection(host_state& self, reducer_context& context,
                                     const gate_attempt& attempt);

/// Withdraws all crashed runs for the request of `attempt` here and on the other hosts, if it was
/// the running attempt of a suspected request: the upstream survived it.
void report_survival(host_state& self, reducer_context& context, const gate_attempt& attempt);

/// Sends the pending crash reports that are due, and drops those sent often enough.
void send_reports(host_state& self, reducer_context& context);

} // namespace chivevane::gate
