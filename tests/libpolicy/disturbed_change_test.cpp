#include "libpolicy/change_delay_fixture.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <vector>

using namespace chivevane;
using namespace chivevane::test;
using namespace chivevane::test::control;

namespace {

constexpr std::size_t host_count = 358;

/// The time in which a change has to be in force on hosts that nothing disturbs.
constexpr duration apply_limit = 3s;

/// The time for which nothing must have disturbed a host until it is held to `apply_limit`.
constexpr duration stable_window = 4s;

constexpr duration change_interval = 330ms;
constexpr auto steps_per_limit = static_cast<std::uint64_t>(apply_limit / change_interval);

/// A fleet that gets a long document again and again while some of its hosts are disturbed.
struct disturbed_fleet {
    explicit disturbed_fleet(std::uint64_t seed)
        : m_hosts(make_platform_fleet(host_count, seed, apply_limit)),
          m_disturbed_at(host_count, instant::min()),
          m_restart_at(host_count, instant::max()),
          m_is_hidden(host_count)
    {
        m_hosts.m_document_costs = document_costs{1.5e6, 0.3e6};
        m_hosts.m_is_partitioned_from_store = [this](std::size_t host) {
            return m_is_hidden[host];
        };
        publish_long_document(m_hosts, ++m_revision);
        m_hosts.start_all();
        m_hosts.run_for(15s);
        BOOST_TEST_REQUIRE(count_late(m_hosts, 1) == 0U);
    }

    disturbed_fleet(const disturbed_fleet&) = delete;
    disturbed_fleet& operator=(const disturbed_fleet&) = delete;

    /// Ends the process of a host, which starts again after a second.
    void restart(std::size_t host)
    {
        m_hosts.kill(host);
        m_restart_at[host] = m_hosts.m_now + 1s;
        m_disturbed_at[host] = m_restart_at[host];
    }

    /// Gives a host no processor time for a while.
    void pause(std::size_t host)
    {
        m_hosts.m_hosts[host].m_paused_until = m_hosts.m_now + 800ms;
        m_disturbed_at[host] = m_hosts.m_hosts[host].m_paused_until;
    }

    /// Disconnects a host from the store; it has no path to it until the end.
    void hide_from_store(std::size_t host)
    {
        m_is_hidden[host] = true;
        m_disturbed_at[host] = instant::max();
    }

    /// Runs for one interval, after a change if there is to be one, and counts the hosts that are
    /// late.
    void step(bool changes)
    {
        m_steps.push_back(m_revision += changes ? 1 : 0);
        if (changes) {
            publish_long_document(m_hosts, m_revision);
        }
        m_hosts.run_for(change_interval);
        start_due_hosts();
        if (m_steps.size() >= steps_per_limit) {
            count_late_hosts(m_steps[m_steps.size() - steps_per_limit]);
        }
    }

    fleet m_hosts;
    std::size_t m_late = 0; ///< Sum over all steps.

private:
    void start_due_hosts()
    {
        for (std::size_t host = 0; host < host_count; ++host) {
            if (m_restart_at[host] <= m_hosts.m_now) {
                m_restart_at[host] = instant::max();
                m_hosts.start(host);
            }
        }
    }

    void count_late_hosts(std::uint64_t revision)
    {
        for (std::size_t host = 0; host < host_count; ++host) {
            const bool is_calm = m_disturbed_at[host] == instant::min() ||
                                 (m_disturbed_at[host] != instant::max() &&
                                  m_hosts.m_now - m_disturbed_at[host] >= stable_window);
            m_late += is_calm && is_late(m_hosts, host, revision) ? 1 : 0;
        }
    }

    std::uint64_t m_revision = 0;
    std::vector<std::uint64_t> m_steps; ///< The newest revision at each step.
    std::vector<instant> m_disturbed_at;
    std::vector<instant> m_restart_at;
    std::vector<bool> m_is_hidden;
};

} // namespace

BOOST_AUTO_TEST_SUITE(disturbed_changes)

/// Guards against changes of a long document that are late on calm hosts of a large fleet while
/// other hosts restart, are slow or cannot reach the store.
BOOST_AUTO_TEST_CASE(quick_changes_are_not_late_on_calm_hosts_while_others_are_disturbed)
{
    constexpr std::size_t change_count = 24;
    constexpr std::size_t disturbed_per_step = 6;
    disturbed_fleet fleet{1};
    fleet.hide_from_store(watchers(fleet.m_hosts).front());
    for (std::size_t step = 0; step < change_count + steps_per_limit; ++step) {
        for (std::size_t number = 0; number < disturbed_per_step; ++number) {
            const auto host = (step * disturbed_per_step + number) * 7 % host_count;
            const bool is_up = fleet.m_hosts.is_up(host);
            if (is_up) {
                number % 2 == 0 ? fleet.restart(host) : fleet.pause(host);
            }
        }
        fleet.step(step < change_count);
    }
    BOOST_TEST_MESSAGE("hosts that were late: " << fleet.m_late);
    BOOST_TEST(fleet.m_late == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
