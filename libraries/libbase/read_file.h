#pragma once

#include "libbase/result.h"

#include <string>

namespace chivevane {

/// Reads the whole content of a file. Fails with `not_found` if the file cannot be read.
result<std::string> read_file(const std::string& path);

} // namespace chivevane
