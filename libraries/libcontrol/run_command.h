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

/// The options of `explain`.
struct explain_options {
    std::string m_key; ///< The caller's key, of which only the digest is sent; may be empty.
    std::string m_organisation; ///< NAME or DOCUMENT/NAME, in place of a key; may be empty.
    std::optional<std::uint64_t> m_timeout_ms; ///< The time that the caller has left.
    bool m_asks_all_hosts = false;             ///< Whether all hosts that are not dead are asked.
};

/// The options of the command line.
struct command_options {
    output_format m_output = output_format::text;
    std::optional<std::uint64_t> m_expected_revision; ///< `apply` needs this revision.
    duration m_wait{};                                ///< How long `rollout` waits for all hosts.
    std::size_t m_timeline_limit = 1'000;             ///< The most entries to read from each host.
    /// The administration addresses (ip:port) that `timeline` reads from. If empty, it reads from
    /// all hosts that are not known to be dead.
    std::vector<std::string> m_timeline_hosts;
    explain_options m_explain;
};

/// The output and exit code of a command.
struct command_result {
    exit_code m_code = exit_code::done;
    std::string m_output; ///< The text for standard output.
    std::string m_errors; ///< The text for standard error.
};

/// Returns the content of a file of the operator.
using file_source = std::function<result<std::string>(const std::string& path)>;

/// Runs the command given by `words`, such as {"key", "create", "marsh", "parish", "office"}.
command_result run_command(std::span<const std::string> words, const command_options& options,
                           const session& client, const file_source& read_file);

/// Returns the help text, which lists all commands, options and exit codes.
std::string_view usage();

} // namespace chivevane::control
