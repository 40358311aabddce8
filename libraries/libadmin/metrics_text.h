#pragma once

#include "libadmin/admin_view.h"

#include <string>

namespace chivevane {

/// Formats all metrics of this host in the Prometheus text format 0.0.4.
std::string format_metrics(const admin_view& view);

} // namespace chivevane
