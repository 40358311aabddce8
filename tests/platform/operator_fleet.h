#pragma once

#include "libpolicy/fleet_fixture.h"
#include "platform/kv_store.h"
#include "platform/operator_store.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chivevane::platform::test {

/// Hosts that read the operator's configuration from a simulated store, each through the adapter
/// that a host process uses.
class operator_fleet {
public:
    operator_fleet(std::size_t host_count, std::uint64_t seed);
    operator_fleet(const operator_fleet&) = delete;
    operator_fleet& operator=(const operator_fleet&) = delete;

    /// Starts all hosts and waits until the first configuration is in force.
    void start();

    /// Ends the process of a host and starts it again.
    void restart(std::size_t host);

    /// The operator writes the next version of the configuration.
    void change_configuration();

    /// The operator writes the newest version again, with the evacuations that are wanted.
    void rewrite();

    /// The two parts of `rewrite`. Evacuations that are not wanted are removed.
    void rewrite_configuration();
    void rewrite_evacuations();

    void evacuate(const std::string& datacentre);
    void end_evacuation(const std::string& datacentre);

    /// Returns the number of the version in force on a host; 0 if it has none.
    std::uint64_t version_on(std::size_t host) const;

    /// Returns the number of hosts with another version than the newest one or with other
    /// evacuations than the operator's.
    std::size_t count_outdated() const;

    std::uint64_t m_newest_version = 0;
    std::vector<std::string> m_evacuated; ///< The evacuations that are wanted, in order of name.
    std::size_t m_regressions = 0; ///< Events after which a host had an older version than before.
    operator_store m_store;
    chivevane::test::control::fleet m_hosts;

private:
    void run_call(std::size_t host, const call_store& call);
    void check_version(std::size_t host);

    /// The adapter and the newest version of each host's process.
    struct host_process {
        std::shared_ptr<kv_store> m_adapter;
        std::uint64_t m_version = 0;
    };
    std::shared_ptr<kv_store> make_adapter();

    std::vector<host_process> m_processes;
};

} // namespace chivevane::platform::test
