#pragma once

#include "libadmin/json_text.h"
#include "libcontrol/document_access.h"
#include "libcontrol/run_command.h"

#include <functional>
#include <string_view>
#include <vector>

namespace chivevane::control {

/// A command that ended with `failure`.
command_result failed(const error& failure);

/// A command line that says nothing that can be done.
command_result misused(std::string_view what);

/// A document with faults.
command_result with_faults(const std::vector<error>& faults);

/// The JSON that a host sent, as it is or as a table.
command_result with_body(const result<api_response>& answer, output_format format,
                         const std::function<std::string(const json_value&)>& to_table);

/// A write that took effect. `new_key` is the plain text of a key that was made, or empty.
command_result with_written(const std::string& name, const written_document& written,
                            output_format format, std::string_view new_key = "");

} // namespace chivevane::control
