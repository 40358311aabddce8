#include "libbase/clock.h"
#include "libhost/transfer_runner.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace chivevane;

namespace {

constexpr std::size_t capacity = 1'000'000;
constexpr std::size_t part_size = 16 * 1024;
constexpr std::size_t buffer_limit = 1'000'000;

/// A sender that sends nothing. The test calls the handlers of the last transfer itself.
struct scripted_sender : request_sender {
    void start(std::uint64_t, outgoing_request, transfer_handlers handlers) override
    {
        m_handlers = std::move(handlers);
    }
    void cancel(std::uint64_t) override {}
    void resume(std::uint64_t) override { ++m_resumes; }

    transfer_handlers m_handlers;
    int m_resumes = 0;
};

/// A reader whose last progress the test sets.
struct scripted_reader : answer_reader {
    std::optional<instant> waiting_since() const override { return m_waiting_since; }
    void close_soon() override { m_is_closed = true; }

    std::optional<instant> m_waiting_since;
    bool m_is_closed = false;
};

/// An answer writer that keeps the written parts until the test completes them.
struct slow_writer : answer_writer {
    void respond(std::uint64_t, const response_head&, std::string) override {}
    void begin(std::uint64_t, const response_head&) override {}
    void write(std::uint64_t, std::string part, std::function<void(bool)> on_written) override
    {
        m_unwritten += part.size();
        m_body += part;
        m_callbacks.push_back(std::move(on_written));
    }
    void finish(std::uint64_t) override {}
    void abort(std::uint64_t) override {}
    bool close_if_left(std::uint64_t) override { return false; }
    std::weak_ptr<answer_reader> reader_of(std::uint64_t) override { return m_reader; }

    void complete_all(bool is_written = true)
    {
        m_unwritten = 0;
        for (const auto& on_written : std::exchange(m_callbacks, {})) {
            on_written(is_written);
        }
    }

    std::shared_ptr<scripted_reader> m_reader = std::make_shared<scripted_reader>();
    std::string m_body;
    std::size_t m_unwritten = 0;
    std::vector<std::function<void(bool)>> m_callbacks;
};

struct transfer_memory_fixture {
    transfer_memory_fixture() { m_exchanges[1] = {&m_writer}; }

    void start(std::size_t body_buffer_limit = 0)
    {
        start_transfer command{7, 1, "127.0.0.1", 9000, {"GET", "/", {}}};
        command.m_body_buffer_limit = body_buffer_limit;
        m_runner.start(command);
        m_sender.m_handlers.m_on_head({200, {}});
    }

    body_flow receive_part()
    {
        const auto flow = m_sender.m_handlers.m_on_body(std::string(part_size, 'x'));
        m_accepted += flow == body_flow::ready ? part_size : 0;
        return flow;
    }

    void reserve_everything()
    {
        BOOST_TEST(m_filler.resize(capacity - m_memory->reserved(), current_time()));
        do {
            m_small_fillers.emplace_back(m_memory);
        } while (m_small_fillers.back().resize(max_small_holder, current_time()));
        const auto rest = capacity + small_holder_reserve - m_memory->reserved();
        BOOST_TEST(m_small_fillers.back().resize(rest, current_time()));
    }

    std::shared_ptr<memory_budget> m_memory = std::make_shared<memory_budget>(capacity);
    memory_reservation m_filler{m_memory};
    std::vector<memory_reservation> m_small_fillers;
    scripted_sender m_sender;
    slow_writer m_writer;
    exchange_table m_exchanges;
    std::deque<transfer_update> m_updates;
    std::size_t m_accepted = 0;
    transfer_runner m_runner{
        m_sender, m_exchanges,
        [this](transfer_update update) { m_updates.push_back(std::move(update)); }, m_memory};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(transfer_memory, transfer_memory_fixture)

// Guards against buffered answers that are not counted, or still counted after their transfer.
BOOST_AUTO_TEST_CASE(a_buffered_answer_is_reserved_until_the_end_of_its_transfer)
{
    for (const bool is_cancelled : {true, false}) {
        start(buffer_limit);
        receive_part();
        BOOST_TEST(m_memory->reserved() == 0U); // The first 16 KB need no reservation.
        receive_part();
        receive_part();
        BOOST_TEST(m_memory->reserved() >= 2 * part_size);
        if (is_cancelled) {
            m_runner.cancel({7});
        }
        else {
            m_sender.m_handlers.m_on_end(transfer_end::truncated, "");
            m_runner.forget(7);
        }
        BOOST_TEST(m_memory->reserved() == 0U);
    }
}

// Guards against an answer that is held, or lost, when it cannot be buffered.
BOOST_AUTO_TEST_CASE(an_answer_that_cannot_be_buffered_is_passed_on_at_once)
{
    reserve_everything();
    start(buffer_limit);
    BOOST_TEST((receive_part() == body_flow::ready));
    BOOST_TEST(m_updates.empty());
    BOOST_TEST((receive_part() == body_flow::pause));
    BOOST_TEST_REQUIRE(m_updates.size() == 1U);
    BOOST_TEST(std::holds_alternative<transfer_head>(m_updates[0]));
    BOOST_TEST(m_memory->counters().m_unbuffered_answers == 1U);
    m_runner.relay({7, 1, response_head{200, {}}});
    BOOST_TEST(m_sender.m_resumes == 1);
    m_writer.complete_all();
    BOOST_TEST((receive_part() == body_flow::ready));
    BOOST_TEST(m_writer.m_body.size() == m_accepted);
}

// Guards against unwritten bytes that grow without memory, and against an answer that stops.
BOOST_AUTO_TEST_CASE(without_memory_at_most_16_kb_wait_to_be_written)
{
    reserve_everything();
    start();
    m_runner.relay({7, 1, response_head{200, {}}});
    for (int part = 0; part < 10; ++part) {
        const auto resumes = m_sender.m_resumes;
        BOOST_TEST((receive_part() == body_flow::ready));
        BOOST_TEST((receive_part() == body_flow::pause));
        BOOST_TEST(m_writer.m_unwritten <= unreserved_bytes);
        m_writer.complete_all();
        BOOST_TEST(m_sender.m_resumes == resumes + 1);
    }
    BOOST_TEST(m_writer.m_body.size() == 10 * part_size);
}

// Guards against bytes that are no longer counted while they wait for a slow reader after the end
// of their transfer.
BOOST_AUTO_TEST_CASE(unwritten_bytes_are_reserved_after_their_transfer_has_ended)
{
    start();
    m_runner.relay({7, 1, response_head{200, {}}});
    for (int part = 0; part < 10; ++part) {
        BOOST_TEST((receive_part() == body_flow::ready));
    }
    m_sender.m_handlers.m_on_end(transfer_end::complete, "");
    m_runner.forget(7);
    m_exchanges.clear();
    BOOST_TEST(m_memory->reserved() >= 9 * part_size);
    m_writer.complete_all(false);
    BOOST_TEST(m_memory->reserved() == 0U);
}

// Guards against a reader that takes nothing and keeps the memory that others need, and against
// closing slow readers while memory is not short.
BOOST_AUTO_TEST_CASE(a_reader_that_takes_nothing_is_closed_only_when_memory_is_short)
{
    start();
    m_runner.relay({7, 1, response_head{200, {}}});
    while (receive_part() == body_flow::ready) {
    }
    const auto held = m_memory->reserved();
    BOOST_TEST(held >= 256U * 1024);
    m_writer.m_reader->m_waiting_since = current_time() - stalled_answer_time;
    BOOST_TEST(m_filler.resize(capacity - held, current_time()));
    BOOST_TEST(!m_writer.m_reader->m_is_closed);

    m_writer.m_reader->m_waiting_since = current_time() - 1s;
    memory_reservation newcomer{m_memory};
    BOOST_TEST(!newcomer.resize(100'000, current_time()));
    BOOST_TEST(!m_writer.m_reader->m_is_closed);

    m_writer.m_reader->m_waiting_since = current_time() - stalled_answer_time;
    BOOST_TEST(newcomer.resize(100'000, current_time()));
    BOOST_TEST(m_writer.m_reader->m_is_closed);
    BOOST_TEST(m_memory->counters().m_closed_readers == 1U);
    newcomer.reset();
    m_filler.reset();
    m_writer.complete_all(false);
    m_runner.cancel({7});
    BOOST_TEST(m_memory->reserved() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
