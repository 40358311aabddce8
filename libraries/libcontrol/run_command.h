#pragma once

#include "libcontrol/exit_code.h"
#include "libcontrol/session.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace chivevane::control {

enum class output_format : std::uint8_t { text, json };

/// What the options of the command line ask for.
struct command_options {
    output_format m_output = output_format::text;
    std::optional<std::uint64_t> m_expected_revision; ///< For `apply`: what the file was made from.
    duration m_wait{};                                ///< For `rollout`.
    std::size_t m_timeline_limit = 1'000;             ///< Entries of each host.
    std::vector<std::string> m_timeline_hosts; ///< Whom `timeline` asks; empty: all known hosts.
};

/// What a command prints and returns.
struct command_result {
    exit_code m_code = exit_code::done;
    std::string m_output; ///< For standard output.
    std::string m_errors; ///< For standard error.
};

/// Reads a file of the operator.
using file_source = std::function<result<std::string>(const std::string& path)>;

/// Runs the command that `words` spell, for example {"key", "create", "marsh", "parish", "office"}.
command_result run_command(std::span<const std::string> words, const command_options& options,
                           const session& access, const file_source& read_file);

/// All commands, one a line.
std::string_view usage();

} // namespace chivevane::control
