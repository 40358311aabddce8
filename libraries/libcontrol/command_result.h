#pragma once

#include "libadmin/json_text.h"
#include "libcontrol/document_access.h"
#include "libcontrol/run_command.h"

#include <functional>
#include <string_view>
#include <vector>

namespace chivevane::control {

/// Returns the result of a command that failed.
command_result error_result(const error& failure);

/// Returns the result for an invalid command line: `what` and the usage.
command_result usage_error_result(std::string_view what);

/// Returns the result for an invalid document, with all its faults.
command_result invalid_document_result(const std::vector<error>& faults);

/// Returns a result with the JSON that a host sent, either unchanged or as text from `to_table`.
command_result response_result(const result<api_response>& response, output_format format,
                               const std::function<std::string(const json_value&)>& to_table);

/// Returns the result of a write that took effect or was not needed. `new_key` is the plain text of
/// a key that the write added, or empty.
command_result write_result(const std::string& name, const written_document& written,
                            output_format format, std::string_view new_key = "");

} // namespace chivevane::control
