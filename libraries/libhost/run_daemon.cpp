#include "libhost/run_daemon.h"

#include "libbase/log_line.h"
#include "libbase/read_file.h"
#include "libhost/host_process.h"
#include "libhost/run_loop.h"
#include "libsettings/parse_settings.h"

#include <algorithm>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <glog/logging.h>
#include <iostream>
#include <limits>
#include <malloc.h>
#include <sys/sysinfo.h>
#include <utility>
#include <variant>
#include <vector>

namespace chivevane {

namespace {

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_listen = 3;

/// Interval at which the settings file is checked for changes, which may come without a signal.
constexpr duration file_check_interval = 1s;

using loaded_settings = std::variant<daemon_settings, std::vector<error>>;

loaded_settings parse_file(const result<std::string>& text)
{
    if (is_error(text)) {
        return std::vector{error_of(text)};
    }
    return parse_settings(value_of(text), read_file);
}

void print_errors(const std::vector<error>& errors)
{
    for (const auto& item : errors) {
        std::cerr << describe(item) << '\n';
    }
}

/// Handles signals and reloads the settings file while the process runs.
class daemon_control {
public:
    daemon_control(asio::io_context& loop, host_process& process, std::string path,
                   std::string text)
        : m_process(process),
          m_stop_signals(loop, SIGINT, SIGTERM),
          m_reload_signals(loop, SIGHUP),
          m_timer(loop),
          m_path(std::move(path)),
          m_text(std::move(text))
    {
        wait_for_stop_signal();
        wait_for_reload_signal();
        schedule_file_check();
    }

private:
    void wait_for_stop_signal()
    {
        m_stop_signals.async_wait([this](const asio::error_code& problem, int) {
            if (!problem) {
                m_process.request_leave();
                wait_for_stop_signal();
            }
        });
    }

    void wait_for_reload_signal()
    {
        m_reload_signals.async_wait([this](const asio::error_code& problem, int) {
            if (!problem) {
                reload_if_changed();
                wait_for_reload_signal();
            }
        });
    }

    void schedule_file_check()
    {
        m_timer.expires_after(file_check_interval);
        m_timer.async_wait([this](const asio::error_code& problem) {
            if (!problem) {
                reload_if_changed();
                schedule_file_check();
            }
        });
    }

    /// Applies the settings file if it has changed. If it is invalid, the previous settings stay.
    void reload_if_changed()
    {
        const auto text = read_file(m_path);
        if (is_error(text) || value_of(text) == m_text) {
            return;
        }
        m_text = value_of(text);
        const auto settings = parse_file(text);
        if (const auto* const errors = std::get_if<std::vector<error>>(&settings)) {
            write_warning(
                log_line{"settings-refused"}
                    .add("reason", describe(errors->front()))
                    .add("remedy", "Correct the file; the previous settings stay in force."));
            return;
        }
        m_process.update_settings(std::get<daemon_settings>(settings));
    }

    host_process& m_process;
    asio::signal_set m_stop_signals;
    asio::signal_set m_reload_signals;
    asio::steady_timer m_timer;
    std::string m_path;
    std::string m_text;
};

/// Blocks of at least this size are allocated by mmap. The parsed form of the largest head, of
/// 4,000 fields, takes 256,000 bytes and must be among them.
constexpr int mapped_block_size = 128 * 1024;

/// Makes large blocks return to the system when they are freed. By default the threshold for
/// separate mappings grows to the size of freed blocks, up to 32 MB, after which freed bodies stay
/// in the heap and the resident memory exceeds what the memory budget counts.
void return_freed_memory()
{
    mallopt(M_MMAP_THRESHOLD, mapped_block_size);
}

/// Memory of the machine in MB, which is less than the settings say where one file of settings
/// serves machines of several sizes.
std::size_t machine_memory_mb()
{
    struct sysinfo machine = {};
    if (sysinfo(&machine) != 0) {
        return std::numeric_limits<std::size_t>::max();
    }
    return static_cast<std::size_t>(machine.totalram) * machine.mem_unit / 1'000'000;
}

/// Applies the memory limit of the settings, bounded by the memory of the machine.
void apply_memory_limit(daemon_settings& settings)
{
    if (settings.m_memory_limit_mb == 0) {
        return;
    }
    settings.m_memory_limit_mb = std::min(settings.m_memory_limit_mb, machine_memory_mb());
    return_freed_memory();
}

} // namespace

int run_daemon(const std::string& settings_path, const platform_hooks& hooks)
{
    const auto text = read_file(settings_path);
    auto settings = parse_file(text);
    if (const auto* const errors = std::get_if<std::vector<error>>(&settings)) {
        print_errors(*errors);
        return exit_bad_settings;
    }
    FLAGS_minloglevel = static_cast<int>(std::get<daemon_settings>(settings).m_log_level);
    apply_memory_limit(std::get<daemon_settings>(settings));
    asio::io_context loop{1};
    try {
        host_process process{loop, std::get<daemon_settings>(std::move(settings)), hooks};
        process.open();
        const daemon_control control{loop, process, settings_path, value_of(text)};
        run_loop(loop);
        return 0;
    }
    catch (const std::exception& problem) {
        std::cerr << "Cannot run: " << problem.what()
                  << " Remedy: check ip and ports in the settings.\n";
        return exit_cannot_listen;
    }
}

int check_settings(const std::string& settings_path)
{
    const auto settings = parse_file(read_file(settings_path));
    if (const auto* const errors = std::get_if<std::vector<error>>(&settings)) {
        print_errors(*errors);
        return exit_bad_settings;
    }
    std::cout << "The settings are valid.\n";
    return 0;
}

} // namespace chivevane
