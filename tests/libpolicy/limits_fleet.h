#pragma once

#include "libpolicy/limits/limits.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace chivevane::test {

/// Size of a simulated fleet and the faults of its network, store and clocks. All random choices
/// follow from `m_seed`.
struct fleet_options {
    std::size_t m_hosts = 34;
    std::uint64_t m_seed = 1;
    double m_loss = 0;         ///< Probability that a datagram is lost.
    double m_duplicated = 0;   ///< Probability that a datagram is delivered twice.
    double m_delayed = 0;      ///< Probability that a datagram is delayed by up to 3 s more.
    double m_answers_lost = 0; ///< Probability that the store's answer is lost after it acted.
    double m_clock_error = 0;  ///< Largest relative error of a host's clock rate.
    duration m_shortest_delay = 400us;
    duration m_longest_delay = 700us;
};

/// One host process of the fleet.
struct fleet_host {
    host_settings m_settings;
    limits_state m_limits;
    membership_state m_members;
    random_engine m_random;
    std::uint64_t m_last_id = 0;
    double m_clock_rate = 1;
    duration m_paused_until{};  ///< Events that arrive earlier are handled at this time.
    duration m_next_wakeup{-1}; ///< In simulated time; negative if none is scheduled.
    bool m_is_running = true;   ///< False once the process has ended.
};

/// One request and the decision on it. All times are simulated time.
struct fleet_request {
    std::size_t m_organisation = 0;
    duration m_arrived_at{};
    duration m_decided_at{-1}; ///< Negative while it waits.
    bool m_is_granted = false;
};

/// An organisation that sends requests to the fleet.
struct fleet_organisation {
    std::string m_key;
    rate_limit m_limit;
};

/// Hosts that run the real code of `limits`, with a simulated network, store and time.
class limits_fleet {
public:
    explicit limits_fleet(fleet_options options);

    /// Starts all hosts with equal shares in the roster, every bucket full.
    void start_with_equal_shares();

    /// Starts host `index` as a new process, without a share.
    void start_host(std::size_t index);

    /// Starts a new process under the name of host `index`, which gets all messages to that name
    /// from now on. The old process keeps running if `is_old_kept_running`. Returns the index of
    /// the new one.
    std::size_t replace_host(std::size_t index, bool is_old_kept_running);

    void request(std::size_t host, std::size_t organisation);
    void leave(std::size_t host);
    void declare_dead(std::size_t host, std::string_view name);
    void kill(std::size_t host) { m_hosts[host]->m_is_running = false; }
    void pause(std::size_t host, duration length);
    /// Drops all datagrams from process `from` to the name with index `to` until `heal` is called.
    void cut(std::size_t from, std::size_t to) { m_cut.insert({from, to}); }
    void heal() { m_cut.clear(); }
    /// Sets the status that host `host` believes `other` to have.
    void set_view(std::size_t host, std::size_t other, member_status status);

    /// Calls `action` at the simulated time `at`.
    void schedule(duration at, std::function<void()> action);
    void run_until(duration end);

    duration now() const { return m_now; }
    fleet_host& host(std::size_t index) { return *m_hosts[index]; }
    /// Whether any process called `name` is running.
    bool is_running(std::string_view name) const;
    std::size_t size() const { return m_hosts.size(); }
    roster_record stored_roster() const;

    std::vector<fleet_organisation> m_organisations;
    std::vector<fleet_request> m_requests;
    bool m_store_is_up = true;
    std::uint64_t m_datagrams = 0;
    std::uint64_t m_store_calls = 0;
    random_engine m_random;

private:
    struct scheduled {
        duration m_at;
        std::uint64_t m_order;
        std::function<void()> m_action;
        bool operator>(const scheduled& other) const
        {
            return std::tie(m_at, m_order) > std::tie(other.m_at, other.m_order);
        }
    };

    void add_host(std::size_t name_index, std::uint64_t incarnation);
    void deliver(std::size_t host, std::function<void(fleet_host&, reducer_context&)> handler);
    void carry_out(std::size_t host, const effect_list& effects);
    void transmit(std::size_t from, const send_datagram& packet);
    void receive(std::size_t to, const host_identity& sender, const message& received);
    void call_store_at(std::size_t host, const call_store& call);
    store_outcome apply_to_store(const store_operation& operation);
    void collect_deferred_decisions(fleet_host& host);
    void set_wakeup(std::size_t host);
    instant local_time(const fleet_host& host) const;
    bool chance(double probability) { return uniform_fraction(m_random) < probability; }
    duration random_delay();

    fleet_options m_options;
    duration m_now{};
    std::uint64_t m_last_order = 0;
    std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>> m_queue;
    std::vector<std::unique_ptr<fleet_host>> m_hosts;
    /// By name index, the index of the process that gets the messages to the name.
    std::vector<std::size_t> m_process_of;
    std::set<std::pair<std::size_t, std::size_t>> m_cut;
    store_entry m_stored{"/chivevane/roster", "", 0};
};

/// The largest number of requests by which any window exceeds `limit`: starts - (b + r T). `starts`
/// must be sorted.
double largest_excess(const std::vector<duration>& starts, const rate_limit& limit);

/// For each of `arrivals`, whether a single exact token bucket would start the request.
std::vector<bool> exact_decisions(const std::vector<duration>& arrivals, const rate_limit& limit);

} // namespace chivevane::test
