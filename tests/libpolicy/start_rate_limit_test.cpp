#include "libpolicy/admission/start_rate_limit.h"
#include "libpolicy/host_fixture.h"
#include "libwire/attempt_metadata.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

using namespace chivevane;
using namespace chivevane::test;

namespace {

/// The longest time over which the starts of a limited upstream are counted.
constexpr duration counted_time = 4s;

/// Returns the largest number of starts in any `counted_time`.
std::size_t most_starts(const std::vector<instant>& starts)
{
    std::size_t most = 0;
    for (auto first = starts.begin(); first != starts.end(); ++first) {
        const auto last = std::upper_bound(first, starts.end(), *first + counted_time);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

/// A gate with one upstream and more attempts than that upstream accepts.
struct limited_fixture : host_fixture {
    limited_fixture()
    {
        m_host_state.m_settings.m_placement = placement_mode::probing;
        load_sample_document();
        announce_again();
        const host_record record{m_peer, "marsh", {"127.0.1.2", 7001, 7002, 7003, 7004}};
        feed(datagram_received{m_peer, 1, {}, record});
    }

    void announce_again(std::uint64_t run = 1)
    {
        upstream_announcement announcement{"permits-1", "permits", "127.0.1.1", 9000, 8};
        announcement.m_warm_up_state = warm_up_state::warm;
        announcement.m_run = run;
        announcement.m_time_to_live = 1h;
        collect(feed(announcement));
    }

    /// Sends an attempt that is allowed to wait at the gate.
    void send()
    {
        attempt_metadata metadata{{m_peer, ++m_last, 1}, 1, "permits-1", "permits", "permits",
                                  "blackmorass"};
        metadata.m_timeout_left = 2000ms;
        metadata.m_latency_target_left = 2000ms;
        metadata.m_revision = 1;
        metadata.m_repeat = repeat_permission::allowed;
        request_head head{"GET", "/permits", {{"Host", "a"}}};
        add_attempt_metadata(head, metadata, 0, "secret");
        collect(feed(inbound_request{++m_exchange, listener_kind::gate, head, 0, 0}));
    }

    void collect(const effect_list& effects)
    {
        for (const auto& each : effects_of_type<start_transfer>(effects)) {
            m_starts.push_back(m_now);
            m_running.push_back(each);
        }
    }

    /// Answers all running attempts, with `rate` as the accepted rate unless it is empty.
    void answer_all(const std::string& rate)
    {
        for (const auto& each : std::exchange(m_running, {})) {
            response_head head{200, {{"Content-Length", "0"}}};
            head.m_fields.push_back(
                {"X-Request-Id",
                 std::string{find_field(each.m_head.m_fields, "X-Request-Id").value_or("")}});
            if (!rate.empty()) {
                head.m_fields.push_back({"X-Accepted-Rate", rate});
            }
            collect(feed(transfer_head{each.m_transfer, head}));
            collect(feed(transfer_ended{each.m_transfer, transfer_end::complete, 0, {}}));
        }
    }

    /// Sends an attempt every 20 ms and answers it 20 ms later. Returns the number of starts.
    std::size_t run_for(duration length, const std::string& rate)
    {
        const auto before = m_starts.size();
        for (const auto end = m_now + length; m_now < end;) {
            send();
            collect(advance(20ms));
            answer_all(rate);
        }
        return m_starts.size() - before;
    }

    host_identity m_peer{"marsh-2", 1};
    std::uint64_t m_last = 0;
    exchange_id m_exchange = 100;
    std::vector<instant> m_starts;
    std::vector<start_transfer> m_running;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(start_rate_limits, limited_fixture)

BOOST_AUTO_TEST_CASE(an_upstream_gets_no_more_than_the_rate_that_it_names)
{
    for (const double rate : {0.5, 1.5, 6.0}) {
        limited_fixture gate;
        gate.run_for(3s, std::to_string(rate));
        gate.m_starts.clear();
        gate.run_for(20s, std::to_string(rate));
        BOOST_TEST(static_cast<double>(most_starts(gate.m_starts)) <= rate * 4 * 1.5 + 5);
        BOOST_TEST(static_cast<double>(gate.m_starts.size()) >= rate * 20 * 0.9 - 1);
    }
}

BOOST_AUTO_TEST_CASE(starts_before_the_rate_was_named_count_against_it)
{
    run_for(200ms, ""); // As after a restart of the gate, which has forgotten the rate.
    run_for(4s, "1");
    BOOST_TEST(most_starts(m_starts) <= 1 * 4 * 1.5 + 5 + 10); // Ten starts in the first 200 ms.
    m_starts.clear();
    run_for(1s, "1");
    BOOST_TEST(m_starts.size() <= 2U);
}

BOOST_AUTO_TEST_CASE(a_limit_ends_when_answers_name_none)
{
    run_for(3s, "1");
    BOOST_TEST(run_for(1s, "1") <= 2U);
    run_for(2s, "");
    BOOST_TEST(run_for(1s, "") >= 40U);
}

BOOST_AUTO_TEST_CASE(an_answer_to_an_earlier_request_does_not_end_a_limit)
{
    run_for(2s, ""); // Lets the gate learn that the upstream runs several requests at once.
    send();
    const auto early = std::exchange(m_running, {});
    BOOST_TEST_REQUIRE(early.size() == 1U);
    collect(advance(20ms));
    send();
    BOOST_TEST_REQUIRE(m_running.size() == 1U);
    answer_all("1");
    m_running = early;
    answer_all("");
    BOOST_TEST(
        m_host_state.m_admission.m_upstreams.at("permits-1").m_accepted_rate.m_rate.has_value());
}

BOOST_AUTO_TEST_CASE(a_restarted_upstream_has_no_limit_and_an_unreadable_one_is_ignored)
{
    const auto& limit = m_host_state.m_admission.m_upstreams.at("permits-1").m_accepted_rate;
    for (const std::string text : {"-1", "nan", "1 0", "fast", "inf"}) {
        run_for(40ms, text);
        BOOST_TEST(!limit.m_rate.has_value());
    }
    run_for(40ms, "2.5");
    BOOST_TEST(limit.m_rate.value_or(0) == 2.5);
    announce_again(2);
    BOOST_TEST(!limit.m_rate.has_value());
}

BOOST_AUTO_TEST_CASE(an_upstream_that_accepts_nothing_is_asked_now_and_then)
{
    run_for(4s, "0");
    const auto starts = run_for(20s, "0");
    BOOST_TEST(starts >= 4U);
    BOOST_TEST(starts <= 6U);
}

BOOST_AUTO_TEST_SUITE_END()
