#include "libpolicy/failed_upstream_calls.h"
#include "libpolicy/gate/circuit.h"

#include "libbase/random_engine.h"

#include <boost/test/unit_test.hpp>

using namespace chivevane;
using circuit::permission;
using circuit::run_outcome;

namespace {

/// Circuit that has recorded 100 good answers.
struct circuit_fixture {
    circuit_fixture()
    {
        for (int answer = 0; answer < 100; ++answer) {
            circuit::record_outcome(m_state, run_outcome::good, m_now);
        }
    }

    permission ask(bool is_idempotent = true) const
    {
        return circuit::permission_for(m_state, is_idempotent, m_now);
    }

    upstream_circuit m_state;
    instant m_now{1h};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(circuit_breaker, circuit_fixture)

BOOST_AUTO_TEST_CASE(the_circuit_of_a_healthy_upstream_opens_on_the_first_failure)
{
    BOOST_TEST((ask() == permission::run));
    circuit::record_outcome(m_state, run_outcome::failed, m_now);
    BOOST_TEST((ask() == permission::refuse));
}

BOOST_AUTO_TEST_CASE(trials_run_one_at_a_time_and_are_idempotent_at_first)
{
    circuit::record_outcome(m_state, run_outcome::failed, m_now);
    m_now += 500ms;
    BOOST_TEST((ask(true) == permission::run_as_trial));
    BOOST_TEST((ask(false) == permission::refuse));
    circuit::begin_trial(m_state);
    BOOST_TEST((ask(true) == permission::refuse));
    circuit::abandon_trial(m_state);
    BOOST_TEST((ask(true) == permission::run_as_trial));
    m_now += 5s; // No idempotent attempt came.
    BOOST_TEST((ask(false) == permission::run_as_trial));
}

BOOST_AUTO_TEST_CASE(two_good_trials_close_the_circuit_and_a_failed_one_reopens_it)
{
    circuit::record_outcome(m_state, run_outcome::failed, m_now);
    m_now += 500ms;
    circuit::record_outcome(m_state, run_outcome::failed, m_now);
    BOOST_TEST((ask() == permission::refuse));
    m_now += 900ms; // The second open phase lasts twice as long.
    circuit::record_outcome(m_state, run_outcome::good, m_now);
    BOOST_TEST((ask() == permission::run_as_trial));
    circuit::record_outcome(m_state, run_outcome::good, m_now);
    BOOST_TEST((ask() == permission::run));
}

BOOST_AUTO_TEST_CASE(the_circuit_rarely_opens_when_half_of_the_attempts_are_refused)
{
    random_engine random{7};
    std::size_t stopped = 0;
    constexpr std::size_t answers = 5000;
    for (std::size_t answer = 0; answer < answers; ++answer) {
        const auto outcome =
            uniform_fraction(random) < 0.5 ? run_outcome::refused : run_outcome::good;
        circuit::record_outcome(m_state, outcome, m_now);
        stopped += ask() == permission::refuse ? 1 : 0;
        m_now += 50ms;
    }
    BOOST_TEST(stopped * 100 <= answers);
}

BOOST_AUTO_TEST_CASE(the_circuit_opens_when_all_attempts_are_refused)
{
    for (int answer = 0; answer < 12; ++answer) {
        circuit::record_outcome(m_state, run_outcome::refused, m_now);
    }
    BOOST_TEST((ask() == permission::refuse));
}

BOOST_AUTO_TEST_CASE(the_circuit_opens_on_the_second_silent_attempt)
{
    circuit::record_outcome(m_state, run_outcome::silent, m_now);
    BOOST_TEST((ask() == permission::run));
    circuit::record_outcome(m_state, run_outcome::silent, m_now);
    BOOST_TEST((ask() == permission::refuse));
}

BOOST_AUTO_TEST_CASE(a_constant_share_of_failures_becomes_the_baseline)
{
    random_engine random{3};
    std::size_t refused = 0;
    constexpr std::size_t answers = 5000;
    for (std::size_t answer = 0; answer < answers; ++answer) {
        refused += ask() == permission::refuse ? 1 : 0;
        const auto outcome =
            uniform_fraction(random) < 0.1 ? run_outcome::failed : run_outcome::good;
        circuit::record_outcome(m_state, outcome, m_now);
        m_now += 100ms;
    }
    // A constant failure rate of 10% is the baseline of this upstream, so most attempts still run.
    BOOST_TEST(refused < answers / 2);
}

BOOST_AUTO_TEST_CASE(a_failure_caused_by_a_failed_call_does_not_count)
{
    failed_upstream_calls calls;
    const auto began = m_now;
    BOOST_TEST(!consume_failed_call(calls, began));
    record_failed_call(calls, m_now - 1ms);
    BOOST_TEST(!consume_failed_call(calls, began)); // The call failed before the run began.
    record_failed_call(calls, m_now + 1ms);
    BOOST_TEST(consume_failed_call(calls, began));
    BOOST_TEST(!consume_failed_call(calls, began)); // Each failed call explains one run only.
    circuit::record_outcome(m_state, run_outcome::caused_by_dependency, m_now);
    BOOST_TEST((ask() == permission::run));
}

BOOST_AUTO_TEST_SUITE_END()
