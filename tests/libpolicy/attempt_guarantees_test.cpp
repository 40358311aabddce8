#include "libpolicy/count_from_environment.h"
#include "libpolicy/fleet_harness.h"
#include "libpolicy/naive_proxy.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;
using namespace chivevane::test;

namespace {

std::size_t seed_count(std::size_t default_count)
{
    return count_from_environment("CHIVEVANE_SEEDS", default_count);
}

/// What became of the requests of all schedules.
struct outcome_counts {
    std::size_t m_requests = 0;
    std::size_t m_complete = 0; ///< Answered with the whole body.
    std::size_t m_not_run = 0;  ///< Refused as not run.
    std::size_t m_unknown = 0;  ///< Refused with an unknown outcome.
    std::size_t m_aborted = 0;  ///< Aborted after a part of the answer.
    std::size_t m_cancel_requests = 0;
    std::size_t m_run_twice = 0;     ///< POST requests that ran more than once.
    std::size_t m_false_not_run = 0; ///< Refused as not run although they ran.
    std::size_t m_wrong_body = 0;    ///< Answered with a body other than their own.
    std::size_t m_unended = 0;       ///< Never ended for the caller or still held by a host.
};

void add_outcome(outcome_counts& sum, const fleet& tested, const caller_record& record)
{
    const auto runs = tested.runs_of(record.m_id);
    const auto expected = fleet::body_for(record.m_id, record.m_head.m_target);
    const bool is_complete = record.m_end == caller_record::end::complete;
    const bool is_answer = record.m_status == 200;
    ++sum.m_requests;
    sum.m_complete += is_complete && is_answer;
    sum.m_not_run += record.is_refusal("not-run");
    sum.m_unknown += record.is_refusal("unknown");
    sum.m_aborted += record.m_end == caller_record::end::aborted;
    sum.m_unended += record.m_end == caller_record::end::none;
    sum.m_run_twice += record.m_head.m_method == "POST" && runs > 1;
    sum.m_false_not_run += record.is_refusal("not-run") && runs > 0;
    const bool is_wrong =
        is_complete ? record.m_body != expected : !expected.starts_with(record.m_body);
    sum.m_wrong_body += is_answer && is_wrong;
}

/// Runs one random schedule of requests and restarts per seed, with random faults of up to the
/// shares in `max_faults`, and adds up the outcomes.
outcome_counts run_seeds(std::size_t seeds, const network_faults& max_faults, double restart_share,
                         const event_handler_factory& factory = make_event_handler)
{
    outcome_counts sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        random_engine random{seed};
        const auto random_share = [&random](double share) {
            return share * uniform_fraction(random);
        };
        const network_faults faults{
            random_share(max_faults.m_datagram_loss), random_share(max_faults.m_duplicated),
            random_share(max_faults.m_silent),        random_share(max_faults.m_broken),
            random_share(max_faults.m_refused),       random_share(max_faults.m_swapped_answers),
            random_share(max_faults.m_delayed)};
        fleet tested{seed, faults, 3, factory};
        tested.m_observer = [&sum](std::size_t, const effect& item) {
            const auto* const datagram = std::get_if<send_datagram>(&item);
            sum.m_cancel_requests +=
                datagram != nullptr &&
                std::holds_alternative<cancel_attempt_request>(datagram->m_message);
        };
        for (int step = 0; step < 60; ++step) {
            const auto host = random(3);
            const auto* const method = random(3) == 0 ? "GET" : "POST";
            // Some requests have the same fingerprint.
            const auto number = random(4) == 0 ? 0 : step;
            tested.call(host, method, "/permits/" + std::to_string(number));
            tested.run_for(from_seconds(uniform_fraction(random) * 0.05));
            if (uniform_fraction(random) < restart_share) {
                tested.restart(random(3));
            }
        }
        tested.run_for(100s); // Longer than a late duplicate is delayed.
        for (const auto& record : tested.m_callers) {
            add_outcome(sum, tested, record);
        }
        for (const auto& handler : tested.m_event_handlers) {
            if (handler.m_host_state) {
                sum.m_unended += handler.m_host_state->m_ingress.m_requests.size() +
                                 handler.m_host_state->m_gate.m_attempts.size();
            }
        }
    }
    BOOST_TEST_MESSAGE(
        "requests=" << sum.m_requests << " whole=" << sum.m_complete << " not_run=" << sum.m_not_run
                    << " unknown=" << sum.m_unknown << " cut=" << sum.m_aborted
                    << " void_requests=" << sum.m_cancel_requests
                    << " run_twice=" << sum.m_run_twice << " false_not_run=" << sum.m_false_not_run
                    << " wrong_body=" << sum.m_wrong_body << " unended=" << sum.m_unended);
    return sum;
}

constexpr network_faults all_faults{0.5, 0.5, 0.2, 0.3, 0.2, 0.1, 0.3};

/// No POST runs twice, no refusal claims "not run" wrongly, no caller gets a body that is not its
/// own, and every request ends.
void check_guarantees(const outcome_counts& sum)
{
    BOOST_TEST(sum.m_run_twice == 0U);
    BOOST_TEST(sum.m_false_not_run == 0U);
    BOOST_TEST(sum.m_wrong_body == 0U);
    BOOST_TEST(sum.m_unended == 0U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(attempt_guarantees)

BOOST_AUTO_TEST_CASE(without_faults_every_request_is_answered_whole)
{
    const auto sum = run_seeds(3, {}, 0);
    check_guarantees(sum);
    BOOST_TEST(sum.m_complete == sum.m_requests);
}

BOOST_AUTO_TEST_CASE(the_guarantees_hold_under_all_faults_and_restarts)
{
    const auto sum = run_seeds(seed_count(120), all_faults, 0.05);
    check_guarantees(sum);
    BOOST_TEST(sum.m_cancel_requests > 0U);
    BOOST_TEST(sum.m_not_run > 0U);
    BOOST_TEST(sum.m_unknown > 0U);
    BOOST_TEST(sum.m_aborted > 0U);
    BOOST_TEST(sum.m_complete > 0U);
}

BOOST_AUTO_TEST_CASE(the_guarantees_hold_while_silent_connections_are_given_up)
{
    const auto sum =
        run_seeds(seed_count(80), all_faults, 0.05, make_event_handler_with_silence_limit);
    check_guarantees(sum);
}

BOOST_AUTO_TEST_CASE(a_naive_proxy_runs_requests_twice_and_relays_wrong_answers)
{
    const auto sum = run_seeds(20, all_faults, 0.05, make_naive_event_handler);
    BOOST_TEST(sum.m_run_twice > 0U);
    BOOST_TEST(sum.m_false_not_run > 0U);
    BOOST_TEST(sum.m_wrong_body > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
