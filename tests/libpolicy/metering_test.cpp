#include "libpolicy/limits/metering.h"

#include "libbase/rendezvous.h"
#include "libpolicy/limits/meter_reach.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>

using namespace chivevane;

namespace {

constexpr std::size_t host_count = 9;
constexpr rate_limit limit{30, 30};
constexpr double slack = 20; // Requests.
const std::string organisation = "document/parish";

/// One simulated host.
struct metered_host {
    host_settings m_settings;
    metering_state m_state;
    membership_state m_members;
    random_engine m_random{5};
    std::uint64_t m_last_id = 0;
};

/// A message that has been sent and not delivered yet.
struct in_flight_message {
    instant m_at;
    std::size_t m_from = 0;
    std::size_t m_to = 0;
    message m_message;
};

/// Hosts that exchange messages with a delay of one millisecond, over paths that can be cut.
struct metering_fixture {
    metering_fixture()
    {
        for (std::size_t index = 0; index < host_count; ++index) {
            auto host = std::make_unique<metered_host>();
            host->m_settings.m_self = {name_of(index), 1};
            host->m_settings.m_rate_slack = slack;
            host->m_settings.m_address = {"127.0.0." + std::to_string(index + 1), 7000};
            m_hosts.push_back(std::move(host));
        }
        for (auto& host : m_hosts) {
            for (const auto& other : m_hosts) {
                member peer;
                peer.m_record.m_identity = other->m_settings.m_self;
                peer.m_record.m_address = other->m_settings.m_address;
                host->m_members.m_members[other->m_settings.m_self.m_name] = peer;
            }
            host->m_members.m_own_record.m_identity = host->m_settings.m_self;
        }
    }

    static std::string name_of(std::size_t index) { return "host-" + std::to_string(index); }

    std::size_t meter() const
    {
        std::vector<std::string> names;
        for (std::size_t index = 0; index < host_count; ++index) {
            names.push_back(name_of(index));
        }
        const auto owner = std::string{rendezvous_owner(organisation, names)};
        return static_cast<std::size_t>(std::find(names.begin(), names.end(), owner) -
                                        names.begin());
    }

    /// Replaces the process of a host by one that knows no other host.
    void restart(metered_host& host)
    {
        host.m_state = {};
        std::erase_if(host.m_members.m_members, [&host](const auto& entry) {
            return entry.first != host.m_settings.m_self.m_name;
        });
        host.m_members.m_started_at = m_now;
    }

    template <typename Action>
    void at_host(std::size_t index, Action action)
    {
        auto& host = *m_hosts[index];
        effect_list effects;
        reducer_context context{m_now, 0, host.m_settings, host.m_random, host.m_last_id, effects};
        action(host, context);
        for (const auto& item : effects) {
            if (const auto* sent = std::get_if<send_datagram>(&item)) {
                carry(index, *sent);
            }
        }
        for (const auto& deferred : host.m_state.m_deferred_decisions) {
            m_started += std::holds_alternative<limits::granted>(deferred.m_decision) ? 1 : 0;
            ++m_decided;
        }
        host.m_state.m_deferred_decisions.clear();
    }

    /// Puts a datagram in flight, unless the path is cut or the receiver is dead.
    void carry(std::size_t from, const send_datagram& sent)
    {
        for (std::size_t to = 0; to < host_count; ++to) {
            if (m_hosts[to]->m_settings.m_address == sent.m_to && !m_cut.contains({from, to}) &&
                !m_dead.contains(to)) {
                m_in_flight.push_back({m_now + 1ms, from, to, sent.m_message});
            }
        }
    }

    /// Cuts all paths between the hosts from the first index up to the second one and the others.
    void cut(std::pair<std::size_t, std::size_t> part)
    {
        const auto is_inside = [&part](std::size_t index) {
            return index >= part.first && index < part.second;
        };
        for (std::size_t from = 0; from < host_count; ++from) {
            for (std::size_t to = 0; to < host_count; ++to) {
                if (is_inside(from) != is_inside(to)) {
                    m_cut.insert({from, to});
                }
            }
        }
    }

    /// Gives all hosts on the other side of a cut this status.
    void set_status_across_cuts(member_status status)
    {
        for (const auto& [from, to] : m_cut) {
            m_hosts[from]->m_members.m_members.at(name_of(to)).m_status = status;
        }
    }

    void send_request(std::size_t index)
    {
        at_host(index, [&](metered_host& host, reducer_context& context) {
            const auto decision = limits::take_metered_token(
                host.m_state, context, host.m_members, organisation, limit, ++m_last_request_id);
            m_started += std::holds_alternative<limits::granted>(decision) ? 1 : 0;
            m_decided += std::holds_alternative<limits::waiting>(decision) ? 0 : 1;
        });
    }

    void step()
    {
        m_now += 1ms;
        std::vector<in_flight_message> due;
        std::copy_if(m_in_flight.begin(), m_in_flight.end(), std::back_inserter(due),
                     [this](const auto& each) { return each.m_at <= m_now; });
        std::erase_if(m_in_flight, [this](const auto& each) { return each.m_at <= m_now; });
        for (const auto& each : due) {
            at_host(each.m_to, [&](metered_host& host, reducer_context& context) {
                limits::record_contact(host.m_state.m_reach, name_of(each.m_from), m_now);
                if (const auto* asked = std::get_if<contact_request>(&each.m_message)) {
                    emit(context, send_datagram{asked->m_address, contact_response{}});
                }
                if (const auto* request = std::get_if<token_request>(&each.m_message)) {
                    limits::on_token_request(host.m_state, context, host.m_members,
                                             {name_of(each.m_from), 1}, *request);
                }
                if (const auto* response = std::get_if<token_response>(&each.m_message)) {
                    limits::on_token_response(host.m_state, context, *response);
                }
            });
        }
        for (std::size_t index = 0; index < host_count; ++index) {
            at_host(index, [&](metered_host& host, reducer_context& context) {
                limits::check_metered_requests(host.m_state, context, host.m_members);
            });
        }
    }

    /// Sends `rate` requests per second for `length`, spread over all hosts that are not dead. Then
    /// lets another 500 ms pass, so that all requests are decided.
    void run_load(double rate, duration length)
    {
        const auto gap = from_seconds(1 / rate);
        auto next = m_now;
        for (const auto end = m_now + length; m_now < end; step()) {
            for (; next <= m_now; next += gap) {
                while (m_dead.contains(m_next_sender % host_count)) {
                    ++m_next_sender;
                }
                send_request(m_next_sender++ % host_count);
            }
        }
        for (int more = 0; more < 500; ++more) {
            step();
        }
    }

    instant m_now{1h};
    std::vector<std::unique_ptr<metered_host>> m_hosts;
    std::vector<in_flight_message> m_in_flight;
    std::set<std::pair<std::size_t, std::size_t>> m_cut;
    std::set<std::size_t> m_dead;
    std::uint64_t m_last_request_id = 0;
    std::size_t m_next_sender = 0;
    std::size_t m_started = 0;
    std::size_t m_decided = 0;
};

/// The largest number of requests that may start within `length`: 10% above the limit, plus
/// `slack`.
double allowed_starts(duration length)
{
    return (limit.m_rate * to_seconds(length) + limit.m_burst) * 1.1 + slack;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(metering, metering_fixture)

BOOST_AUTO_TEST_CASE(nothing_is_refused_below_the_rate)
{
    run_load(25, 10s);
    BOOST_TEST(m_decided == m_last_request_id);
    BOOST_TEST(m_started == m_decided);
}

BOOST_AUTO_TEST_CASE(overload_starts_no_more_than_the_limit)
{
    run_load(300, 5s);
    BOOST_TEST(m_decided == m_last_request_id);
    BOOST_TEST(static_cast<double>(m_started) <= allowed_starts(5s));
    BOOST_TEST(static_cast<double>(m_started) >= limit.m_rate * 5);
}

BOOST_AUTO_TEST_CASE(without_slack_the_limit_is_exact)
{
    for (auto& host : m_hosts) {
        host->m_settings.m_rate_slack = 0;
    }
    run_load(300, 5s);
    BOOST_TEST(static_cast<double>(m_started) <= limit.m_rate * 5.5 + limit.m_burst);
    m_dead.insert(meter());
    const auto started = m_started;
    run_load(300, 5s);
    BOOST_TEST(static_cast<double>(m_started - started) <= limit.m_rate * 5.5 + limit.m_burst);
}

/// Guards against hosts that decide locally although another host can relay their requests.
BOOST_AUTO_TEST_CASE(hosts_cut_off_from_the_meter_reach_it_through_relays)
{
    for (std::size_t index = 0; index < host_count / 3; ++index) {
        m_cut.insert({index, meter()});
        m_cut.insert({meter(), index});
    }
    run_load(300, 5s);
    BOOST_TEST(m_decided == m_last_request_id);
    BOOST_TEST(static_cast<double>(m_started) <= allowed_starts(5s));
}

BOOST_AUTO_TEST_CASE(a_retried_request_takes_one_token)
{
    token_request request{m_hosts[0]->m_settings.m_address, 77, name_of(1), organisation, 30, 30};
    at_host(1, [&](metered_host& host, reducer_context& context) {
        limits::on_token_request(host.m_state, context, host.m_members, {"host-0", 1}, request);
        const auto left = host.m_state.m_metered_buckets.at(organisation).m_bucket.m_tokens;
        limits::on_token_request(host.m_state, context, host.m_members, {"host-0", 1}, request);
        BOOST_TEST(host.m_state.m_metered_buckets.at(organisation).m_bucket.m_tokens == left);
    });
}

BOOST_AUTO_TEST_CASE(when_the_meter_dies_another_takes_over)
{
    run_load(25, 2s);
    m_dead.insert(meter());
    run_load(25, 2s);
    const auto started = m_started;
    const auto asked = m_last_request_id;
    run_load(20, 3s);
    // The dead host sends no requests; the requests of all others are within the rate.
    const auto share =
        static_cast<double>(m_started - started) / static_cast<double>(m_last_request_id - asked);
    BOOST_TEST(share >= 0.85);
}

/// A new meter does not know how many tokens the dead one has granted, and must not grant the whole
/// burst again.
BOOST_AUTO_TEST_CASE(a_meter_that_dies_under_overload_grants_no_second_burst)
{
    run_load(300, 2s);
    m_dead.insert(meter());
    const auto started = m_started;
    run_load(300, 5s);
    BOOST_TEST(static_cast<double>(m_started - started) <= allowed_starts(5s));
}

/// Guards against two meters that grant the whole rate each while a data centre is cut off.
BOOST_AUTO_TEST_CASE(the_parts_of_a_divided_fleet_start_no_more_than_the_limit_together)
{
    for (const std::size_t cut_off : {1U, 2U, 3U, 4U}) {
        metering_fixture fleet;
        fleet.cut({0, cut_off});
        fleet.run_load(300, 5s);
        BOOST_TEST(static_cast<double>(fleet.m_started) <= allowed_starts(5s), cut_off);
        // Each part goes on to be served within its part of the rate.
        BOOST_TEST(static_cast<double>(fleet.m_started) >= limit.m_rate * 5 * 0.8, cut_off);
    }
}

/// Guards against two meters that grant the whole rate each after a cut has healed, until all hosts
/// use the same one again.
BOOST_AUTO_TEST_CASE(the_parts_of_a_fleet_start_no_more_than_the_limit_when_a_cut_heals)
{
    for (const duration cut_for : {duration{600ms}, duration{1s}, duration{2s}, duration{4s}}) {
        metering_fixture fleet;
        fleet.cut({0, 4});
        fleet.run_load(300, cut_for);
        fleet.m_cut.clear();
        for (int second = 0; second < 4; ++second) {
            const auto started = fleet.m_started;
            fleet.run_load(300, 4500ms); // With the time until all are decided, 5 s.
            BOOST_TEST(static_cast<double>(fleet.m_started - started) <= allowed_starts(5s),
                       to_milliseconds(cut_for) << " ms: " << fleet.m_started - started);
        }
    }
}

/// Guards against hosts that are each cut off alone and know the others as dead, and so each grant
/// the whole rate.
BOOST_AUTO_TEST_CASE(hosts_that_are_cut_off_alone_start_no_more_than_the_limit_together)
{
    for (const auto status : {member_status::suspect, member_status::dead}) {
        metering_fixture fleet;
        for (std::size_t alone = 0; alone < 4; ++alone) {
            fleet.cut({alone, alone + 1});
            fleet.set_status_across_cuts(status);
        }
        fleet.run_load(20, 6s);
        const auto started = fleet.m_started;
        fleet.run_load(300, 5s);
        BOOST_TEST(static_cast<double>(fleet.m_started - started) <= allowed_starts(5s));
    }
}

/// Guards against a fleet that serves less for ever after a host died for good.
BOOST_AUTO_TEST_CASE(the_whole_rate_is_granted_once_a_dead_host_is_not_registered_any_more)
{
    m_dead.insert({0, 1, 2});
    for (const auto dead : m_dead) {
        for (auto& host : m_hosts) {
            auto& known = host->m_members.m_members.at(name_of(dead));
            known.m_status = member_status::dead;
            known.m_last_round_at = m_now - 3min;
            host->m_members.m_registration.m_has_read_hosts = true;
            host->m_members.m_registration.m_last_read_at = m_now;
        }
    }
    run_load(300, 5s);
    BOOST_TEST(static_cast<double>(m_started) >= limit.m_rate * 5);
    BOOST_TEST(static_cast<double>(m_started) <= allowed_starts(5s));
}

/// Hosts that have just started know no other host, and must not all be the meter.
BOOST_AUTO_TEST_CASE(hosts_that_restart_together_choose_one_meter)
{
    for (auto& host : m_hosts) {
        restart(*host);
        for (const auto& other : m_hosts) {
            if (other != host) {
                host->m_members.m_registration.m_registered.push_back(
                    {other->m_settings.m_self.m_name, other->m_settings.m_address});
            }
        }
        host->m_members.m_registration.m_has_read_hosts = true;
    }
    run_load(300, 3s);
    BOOST_TEST(m_decided == m_last_request_id);
    BOOST_TEST(static_cast<double>(m_started) <= allowed_starts(3s));
    BOOST_TEST(static_cast<double>(m_started) >= limit.m_rate * 3);
}

BOOST_AUTO_TEST_CASE(hosts_that_know_nobody_yet_start_no_more_than_the_limit)
{
    for (auto& host : m_hosts) {
        restart(*host);
    }
    run_load(300, 1s);
    BOOST_TEST(m_decided == m_last_request_id);
    BOOST_TEST(static_cast<double>(m_started) <= allowed_starts(1s));
}

/// Where no meter answers, all hosts of a large fleet together start few requests.
BOOST_AUTO_TEST_CASE(local_decisions_of_a_large_fleet_stay_within_the_slack)
{
    constexpr std::size_t fleet_size = 360;
    double started = 0;
    for (std::size_t index = 0; index < fleet_size; ++index) {
        metered_host host;
        host.m_settings.m_self = {name_of(index), 1};
        host.m_settings.m_rate_slack = slack;
        host.m_random.seed(index + 1);
        host.m_members.m_started_at = m_now;
        for (std::size_t other = 0; other + 1 < fleet_size; ++other) {
            host.m_members.m_registration.m_registered.push_back({name_of(other + 1000), {}});
        }
        effect_list effects;
        reducer_context context{m_now, 0, host.m_settings, host.m_random, host.m_last_id, effects};
        limits::take_metered_token(host.m_state, context, host.m_members, organisation, limit, 1);
        for (int check = 0; check < 10; ++check) {
            context.m_now += 100ms;
            limits::check_metered_requests(host.m_state, context, host.m_members);
        }
        BOOST_TEST_REQUIRE(host.m_state.m_deferred_decisions.size() == 1U);
        const auto& decided = host.m_state.m_deferred_decisions[0].m_decision;
        started += std::holds_alternative<limits::granted>(decided) ? 1 : 0;
    }
    BOOST_TEST(started <= allowed_starts(1s));
}

BOOST_AUTO_TEST_SUITE_END()
