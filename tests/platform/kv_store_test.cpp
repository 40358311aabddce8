#include "libhttp/http_server.h"
#include "platform/kv_store.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

using namespace chivevane;
using namespace chivevane::platform;

namespace {

const std::string page_with_configuration =
    R"({"items":[{"key":"op/config","value":"e30=","rev":60}],"has-more":false,"as-of":70})";

/// A store that answers each call with the next of a test's answers, and the client of it.
struct kv_store_fixture {
    static constexpr const char* ip = "127.0.8.4";
    static constexpr std::uint16_t port = 17630;

    struct answer {
        std::uint16_t m_status = 200;
        std::string m_body;
    };

    kv_store_fixture() { m_server.open(); }

    ~kv_store_fixture() { m_server.close(); }

    /// Runs an operation and returns the revision of the entries that it returns.
    std::uint64_t revision_of(const store_operation& operation)
    {
        std::optional<store_outcome> outcome;
        m_store->run(operation, [&outcome](store_outcome result) { outcome = std::move(result); });
        for (int round = 0; round < 1000 && !outcome; ++round) {
            m_loop.restart();
            m_loop.run_for(std::chrono::milliseconds{10});
        }
        return std::get<store_entries>(outcome.value()).m_revision;
    }

    void respond(const received_request& request)
    {
        m_targets.push_back(request.m_head.m_target);
        const auto& next = m_answers.at(m_targets.size() - 1);
        m_server.respond(request.m_exchange, {next.m_status, {}}, next.m_body);
    }

    asio::io_context m_loop{1};
    std::uint64_t m_last_exchange = 0;
    std::vector<answer> m_answers;
    std::vector<std::string> m_targets; ///< Of the calls that the store received.
    http_client m_client{m_loop};
    http_server m_server{
        m_loop,
        {ip, port},
        {[this](const received_request& request) { respond(request); }, [](std::uint64_t) {}},
        m_last_exchange};
    std::shared_ptr<kv_store> m_store = std::make_shared<kv_store>(
        [this](outgoing_request request, transfer_handlers handlers) {
            m_client.start(m_client.make_transfer_id(), std::move(request), std::move(handlers));
        },
        ip_endpoint{ip, port}, 0.5);
};

const store_operation read_documents = store_read{"/chivevane/documents/"};

} // namespace

BOOST_FIXTURE_TEST_SUITE(kv_stores, kv_store_fixture)

/// Guards against removals between the newest item and the read that no watch reports.
BOOST_AUTO_TEST_CASE(a_watch_after_a_full_read_begins_at_the_newest_item)
{
    m_answers = {{200, page_with_configuration}};
    BOOST_TEST(revision_of(read_documents) == 60U);
}

/// Guards against reading everything again and again where the store forgot the newest item's
/// change.
BOOST_AUTO_TEST_CASE(a_watch_begins_at_the_read_where_the_history_since_the_newest_item_is_lost)
{
    m_answers = {{200, page_with_configuration}, {410, ""}, {200, page_with_configuration}};
    BOOST_TEST(revision_of(read_documents) == 60U);
    BOOST_TEST(revision_of(store_watch{"/chivevane/documents/", 60, 1s}) == 0U);
    BOOST_TEST(m_targets.at(1) == "/chivevane/kv-watch?prefix=op/&after=60&wait-ms=1000");
    BOOST_TEST(revision_of(read_documents) == 70U);
}

BOOST_AUTO_TEST_SUITE_END()
