#include "libpolicy/gate/quarantine.h"

#include "libbase/digest.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace chivevane;

namespace {

constexpr instant start{1h};

/// A state in which one request of each of two organisations is quarantined.
struct quarantine_fixture {
    quarantine_fixture()
    {
        for (const auto fingerprint : {m_first, m_second}) {
            add_run(fingerprint, "host-1/permits-1/1", start);
            add_run(fingerprint, "host-2/permits-2/1", start);
        }
    }

    void add_run(std::uint64_t fingerprint, std::string_view crashed_run, instant now)
    {
        quarantine::add_crashed_run(m_state, fingerprint, crashed_run, now);
    }

    bool is_quarantined(std::uint64_t fingerprint, instant now) const
    {
        return quarantine::request_status_of(m_state, fingerprint, now) ==
               quarantine::status::quarantined;
    }

    quarantine_state m_state;
    std::uint64_t m_first = quarantine::make_fingerprint("parish", stable_hash("a"));
    std::uint64_t m_second = quarantine::make_fingerprint("marsh", stable_hash("a"));
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(quarantines, quarantine_fixture)

/// Guards against an organisation that makes a host forget the requests of others.
BOOST_AUTO_TEST_CASE(one_organisation_does_not_evict_the_requests_of_another)
{
    for (int number = 0; number < 3000; ++number) {
        const auto fingerprint =
            quarantine::make_fingerprint("parish", stable_hash(fmt::format("{}", number)));
        add_run(fingerprint, "host-3/permits-3/1", start + 1ms);
        add_run(fingerprint, "host-4/permits-4/1", start + 1ms);
    }
    BOOST_TEST(m_state.m_suspects.size() == quarantine::max_suspects);
    BOOST_TEST(is_quarantined(m_second, start + 2ms));
}

/// Guards against repeated reports and runs of the same moment that count as later crashes.
BOOST_AUTO_TEST_CASE(only_a_crash_after_a_quarantine_makes_the_next_one_longer)
{
    add_run(m_first, "host-2/permits-2/1", start + 30s);
    add_run(m_first, "host-3/permits-3/1", start + 1s);
    BOOST_TEST(is_quarantined(m_first, start + 59s));
    BOOST_TEST(!is_quarantined(m_first, start + 60s));
    add_run(m_first, "host-1/permits-1/2", start + 70s);
    BOOST_TEST(is_quarantined(m_first, start + 70s + 8min - 1ms));
    BOOST_TEST(!is_quarantined(m_first, start + 70s + 8min));
}

BOOST_AUTO_TEST_CASE(a_recovered_request_is_quarantined_for_the_time_that_is_left)
{
    add_run(m_first, "host-1/permits-1/2", start + 70s);
    quarantine_state recovered;
    for (const auto& record : quarantine::list_records(m_state, start + 2min)) {
        quarantine::merge_record(recovered, record, start + 2min);
    }
    m_state = recovered;
    BOOST_TEST(is_quarantined(m_first, start + 70s + 8min - 1ms));
    BOOST_TEST(!is_quarantined(m_first, start + 70s + 8min));
    BOOST_TEST((quarantine::request_status_of(recovered, m_second, start + 2min) ==
                quarantine::status::suspected));
}

BOOST_AUTO_TEST_CASE(a_request_that_an_upstream_survived_is_not_suspected_any_more)
{
    quarantine::withdraw_crashed_run(m_state, m_first, "host-1/permits-1/1");
    quarantine::withdraw_crashed_run(m_state, m_first, "host-2/permits-2/1");
    BOOST_TEST((quarantine::request_status_of(m_state, m_first, start + 61s) ==
                quarantine::status::clear));
}

BOOST_AUTO_TEST_SUITE_END()
