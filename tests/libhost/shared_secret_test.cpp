#include "libhost/shared_secret.h"

#include "libbase/clock.h"
#include "libhost/host_process.h"
#include "libstore/store_model.h"

#include <asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <utility>

using namespace chivevane;

namespace {

constexpr const char* secret_key = "/fleet/secret";

daemon_settings settings_with_stored_secret()
{
    daemon_settings settings;
    auto& policy = settings.m_policy;
    policy.m_self.m_name = "marsh-1";
    policy.m_datacentre = "marsh";
    policy.m_address = {"127.0.8.3", 17612, 17611, 17610, 17613};
    settings.m_listen_ip = "127.0.8.3";
    settings.m_announce_port = 17614;
    settings.m_shared_secret_store_key = secret_key;
    return settings;
}

struct stored_secret_fixture {
    /// Runs operations on the model, and answers them from the loop.
    store_runner runner()
    {
        return [this](const store_operation& operation, std::function<void(store_outcome)> done) {
            auto outcome = m_failures_left > 0
                               ? store_outcome{store_failure{store_failure_kind::unknown, {}}}
                               : apply_store_operation(m_model, operation, current_time());
            m_failures_left -= m_failures_left > 0 ? 1 : 0;
            asio::post(m_loop,
                       [done = std::move(done), outcome = std::move(outcome)] { done(outcome); });
        };
    }

    platform_hooks hooks()
    {
        auto hooks = native_hooks();
        hooks.m_make_store = [this](http_client&, const daemon_settings&) { return runner(); };
        return hooks;
    }

    bool run_until(const std::function<bool()>& condition, duration limit)
    {
        const auto end = current_time() + limit;
        while (!condition() && current_time() < end) {
            m_loop.restart();
            m_loop.run_for(std::chrono::milliseconds{10});
        }
        return condition();
    }

    std::string stored_secret() const
    {
        const auto found = m_model.m_entries.find(secret_key);
        return found == m_model.m_entries.end() ? std::string{} : found->second.m_entry.m_value;
    }

    asio::io_context m_loop{1};
    store_model m_model;
    int m_failures_left = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(shared_secrets, stored_secret_fixture)

BOOST_AUTO_TEST_CASE(the_secret_is_written_again_after_the_store_came_back_without_it)
{
    m_model.m_revision = 10;
    host_process process{m_loop, settings_with_stored_secret(), hooks()};
    process.open();
    BOOST_TEST_REQUIRE(run_until([&] { return !stored_secret().empty(); }, 5s));
    run_until([] { return false; }, 2s); // The host reads documents.
    const auto secret = stored_secret();
    m_model = {};
    m_model.m_era = 2;
    m_model.m_revision = 5;
    BOOST_TEST(run_until([&] { return !stored_secret().empty(); }, 15s));
    BOOST_TEST(stored_secret() == secret);
    process.request_leave();
    process.request_leave();
    run_until([] { return false; }, 100ms);
}

BOOST_AUTO_TEST_CASE(a_secret_that_the_returned_store_has_is_kept)
{
    apply_store_operation(m_model, store_compare_and_swap{secret_key, 0, "stored"}, current_time());
    restore_shared_secret(m_loop, runner(), secret_key, "own");
    m_loop.run();
    BOOST_TEST(stored_secret() == "stored");
}

BOOST_AUTO_TEST_CASE(a_secret_is_written_again_once_the_store_answers)
{
    m_failures_left = 3;
    restore_shared_secret(m_loop, runner(), secret_key, "own");
    m_loop.run();
    BOOST_TEST(stored_secret() == "own");
}

BOOST_AUTO_TEST_SUITE_END()
