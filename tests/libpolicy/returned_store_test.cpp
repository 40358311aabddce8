#include "libpolicy/configuration/configuration.h"
#include "libpolicy/configuration/document_record.h"
#include "libpolicy/configuration/document_write.h"
#include "libpolicy/count_from_environment.h"
#include "libpolicy/fleet_fixture.h"
#include "libpolicy/host_fixture.h"
#include "libwire/store_position.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace chivevane;
using namespace chivevane::test;

namespace {

constexpr std::string_view document_name = "blackmorass";

/// Time within which all hosts have registered again: the spread of 100 s, the delay of 10 s before
/// the entry is written, and a conflict.
constexpr duration registration_limit = 115s;

stored_document sample_in_era(std::uint64_t era)
{
    return {std::string{document_name},
            encode_position({era, 5}),
            "edit-" + std::to_string(era),
            sample_document(),
            {}};
}

/// A fleet whose store can come back from an older copy.
struct returning_fleet : control::fleet {
    returning_fleet(std::size_t count, std::uint64_t seed) : control::fleet{count, seed}
    {
        publish(0);
    }

    /// Starts all hosts but the last `late`, and these after a copy of the store was taken.
    void start_with_copy(std::size_t late)
    {
        const auto early = m_hosts.size() - late;
        for (std::size_t index = 0; index < early; ++index) {
            start(index);
        }
        run_for(1min);
        m_copy = m_store;
        for (std::size_t index = early; index < m_hosts.size(); ++index) {
            start(index);
        }
        run_for(20s);
    }

    void publish(std::uint64_t era)
    {
        const auto key = configuration::store_key(document_name);
        const auto version = m_store.m_entries[key].m_entry.m_version;
        m_store.write(
            store_compare_and_swap{key, version, encode_document_record(sample_in_era(era))});
    }

    /// Lets the store come back from the copy. Watches that wait stay so.
    void return_to_copy()
    {
        m_store.m_entries = m_copy.m_entries;
        m_store.m_leases = m_copy.m_leases;
        m_store.m_revision = m_copy.m_revision;
        m_store.m_last_lease = m_copy.m_last_lease;
    }

    bool is_registered(std::size_t index) const
    {
        const auto entries =
            m_store.read("/chivevane/hosts/" + m_hosts[index].m_settings.m_self.m_name);
        return std::any_of(entries.m_entries.begin(), entries.m_entries.end(),
                           [](const store_entry& entry) { return entry.m_version != 0; });
    }

    std::size_t count_registered() const
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            count += is_registered(index) ? 1 : 0;
        }
        return count;
    }

    /// Returns the largest number of writes to the store within one second.
    double peak_writes_per_second() const
    {
        std::map<std::int64_t, double> counts;
        double peak = 0;
        for (const auto& call : m_store_calls) {
            if (call.m_is_write) {
                peak =
                    std::max(peak, ++counts[to_milliseconds(call.m_at.time_since_epoch()) / 1000]);
            }
        }
        return peak;
    }

    test::store_stub m_copy;
};

/// Returns the first store call for the registration among the effects; null if there is none.
const call_store* registration_call(const effect_list& effects)
{
    for (const auto& item : effects) {
        if (const auto* const call = std::get_if<call_store>(&item);
            call != nullptr && call->m_purpose == store_purpose::registration) {
            return call;
        }
    }
    return nullptr;
}

/// A host that is about to register.
struct registering_host : host_fixture {
    /// Runs until the host makes a store call for its registration other than a read, and returns
    /// its operation. Reads are answered without entries.
    store_operation next_operation()
    {
        for (int step = 0; step < 1500; ++step) {
            const auto effects = advance(100ms);
            const auto* const call = registration_call(effects);
            if (call != nullptr && !std::holds_alternative<store_read>(call->m_operation)) {
                return call->m_operation;
            }
            if (call != nullptr) {
                answer(store_entries{1, {}});
            }
        }
        BOOST_FAIL("the host makes no call");
        return store_read{};
    }

    effect_list answer(store_outcome outcome)
    {
        return feed(store_response{0, store_purpose::registration, std::move(outcome)});
    }

    void put_in_force(std::uint64_t era)
    {
        const store_entry entry{configuration::store_key(document_name),
                                encode_document_record(sample_in_era(era)), 1};
        feed(store_response{1, store_purpose::document_read, store_entries{1, {entry}}});
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(returned_store)

BOOST_AUTO_TEST_CASE(hosts_whose_entry_an_older_copy_lacks_register_again)
{
    const auto seeds = count_from_environment("CHIVEVANE_SEEDS", 2);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        returning_fleet hosts{30, seed};
        hosts.start_with_copy(5);
        BOOST_TEST(hosts.count_registered() == 30U);
        hosts.return_to_copy();
        BOOST_TEST(hosts.count_registered() == 25U);
        hosts.publish(2);
        hosts.run_for(registration_limit);
        BOOST_TEST(hosts.count_registered() == 30U);
        hosts.run_for(2min);
        BOOST_TEST(hosts.count_registered() == 30U);
    }
}

BOOST_AUTO_TEST_CASE(a_host_that_leaves_does_not_delete_the_entry_of_one_that_got_its_lease_id)
{
    const auto seeds = count_from_environment("CHIVEVANE_SEEDS", 2);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        returning_fleet hosts{12, seed};
        hosts.start_with_copy(1);
        hosts.kill(10);
        hosts.return_to_copy();
        hosts.publish(2);
        hosts.run_for(5s);
        hosts.start(10); // It may get the id of the lease of host 11.
        BOOST_TEST_REQUIRE(hosts.run_until([&] { return hosts.m_store.m_last_lease >= 12; }, 30s));
        hosts.run_for(registration_limit);
        hosts.feed(11, leave_requested{});
        hosts.run_for(1s);
        BOOST_TEST(!hosts.is_registered(11));
        for (std::size_t host = 0; host < 11; ++host) {
            BOOST_TEST(hosts.is_registered(host), "seed " << seed << ", host " << host);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_returned_store_is_not_overloaded_by_registrations)
{
    constexpr double writes_per_second = 300.0 * 60 / 2400; // Of 60 hosts.
    const auto seeds = count_from_environment("CHIVEVANE_SEEDS", 2);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        returning_fleet hosts{60, seed};
        hosts.start_with_copy(10);
        hosts.return_to_copy();
        hosts.publish(2);
        hosts.m_store_calls.clear();
        hosts.run_for(150s);
        const auto peak = hosts.peak_writes_per_second();
        BOOST_TEST_MESSAGE("seed " << seed << ", peak after the return: " << peak << " writes/s");
        BOOST_TEST(peak <= writes_per_second);
        BOOST_TEST(hosts.count_registered() == 60U);
    }
}

BOOST_FIXTURE_TEST_CASE(a_lease_that_was_granted_before_the_return_is_not_used, registering_host)
{
    put_in_force(0);
    answer(store_entries{1, {}});
    BOOST_TEST(std::holds_alternative<store_grant_lease>(next_operation()));
    put_in_force(2);
    answer(store_lease{7, 120s});
    BOOST_TEST(std::holds_alternative<store_grant_lease>(next_operation()));
    answer(store_lease{8, 120s});
    const auto operation = next_operation();
    const auto* const write = std::get_if<store_compare_and_swap>(&operation);
    BOOST_TEST_REQUIRE(write != nullptr);
    BOOST_TEST(write->m_lease == 8U);
}

BOOST_FIXTURE_TEST_CASE(a_lease_is_kept_while_the_store_stays_in_its_era, registering_host)
{
    put_in_force(2);
    answer(store_entries{1, {}});
    BOOST_TEST(std::holds_alternative<store_grant_lease>(next_operation()));
    answer(store_lease{7, 120s});
    BOOST_TEST(std::holds_alternative<store_compare_and_swap>(next_operation()));
    answer(store_written{1});
    load_document("other", "document: other\norganisations: []\nservices: []\nroutes: []\n");
    BOOST_TEST((next_operation() == store_operation{store_renew_lease{7}}));
}

BOOST_AUTO_TEST_SUITE_END()
