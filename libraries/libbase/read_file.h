#pragma once

#include "libbase/result.h"

#include <string>

namespace chivevane {

/// The content of a file. Fails with `not_found` when it cannot be read.
result<std::string> read_file(const std::string& path);

} // namespace chivevane
