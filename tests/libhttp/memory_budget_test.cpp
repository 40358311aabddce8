#include "libhttp/memory_budget.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace chivevane;

namespace {

constexpr std::size_t capacity = 10'000'000;
const instant start = instant{} + 100s;

struct memory_budget_fixture {
    std::shared_ptr<memory_budget> m_budget = std::make_shared<memory_budget>(capacity);
};

/// A reservation with terms of eviction that counts its evictions.
struct evictable_holder {
    evictable_holder(std::shared_ptr<memory_budget> budget, eviction_kind kind, std::size_t bytes,
                     instant last_progress)
        : m_reservation(std::move(budget))
    {
        m_reservation.resize(bytes, start);
        m_reservation.set_evictable(
            kind, [last_progress] { return last_progress; },
            [this] {
                m_is_evicted = true;
                m_reservation.reset();
            });
    }

    memory_reservation m_reservation;
    bool m_is_evicted = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(memory_budgets, memory_budget_fixture)

// Guards against a budget that refuses where no limit is set.
BOOST_AUTO_TEST_CASE(a_budget_without_capacity_never_refuses)
{
    const auto unlimited = std::make_shared<memory_budget>();
    memory_reservation reservation{unlimited};
    BOOST_TEST(reservation.resize(std::size_t{1} << 40, start));
    BOOST_TEST(unlimited->reserved() == 0U);
}

// Guards against bytes that stay counted after their holder is gone, which would end in a process
// that refuses everything.
BOOST_AUTO_TEST_CASE(every_way_to_end_a_reservation_releases_its_bytes)
{
    {
        memory_reservation first{m_budget};
        BOOST_TEST(first.resize(1000, start));
        memory_reservation second{std::move(first)};
        memory_reservation third{m_budget};
        BOOST_TEST(third.resize(500, start));
        BOOST_TEST(m_budget->reserved() == 1500U);
        third = std::move(second);
        BOOST_TEST(m_budget->reserved() == 1000U);
        BOOST_TEST(third.resize(10, start));
        BOOST_TEST(m_budget->reserved() == 10U);
        BOOST_TEST(!third.resize(capacity + 1, start));
        BOOST_TEST(m_budget->reserved() == 10U);
    }
    BOOST_TEST(m_budget->reserved() == 0U);
    memory_reservation refused{m_budget};
    BOOST_TEST(!refused.resize(capacity + 1, start));
    BOOST_TEST(refused.size() == 0U);
    BOOST_TEST(m_budget->reserved() == 0U);
}

// Guards against large bodies that fill the budget and shut out ordinary requests.
BOOST_AUTO_TEST_CASE(small_holders_have_a_reserve_beyond_the_capacity)
{
    memory_reservation large{m_budget};
    BOOST_TEST(large.resize(capacity, start));
    memory_reservation medium{m_budget};
    BOOST_TEST(!medium.resize(max_small_holder + 1, start));
    std::vector<memory_reservation> small;
    for (std::size_t used = 0; used + max_small_holder <= small_holder_reserve;
         used += max_small_holder) {
        small.emplace_back(m_budget);
        BOOST_TEST(small.back().resize(max_small_holder, start));
    }
    memory_reservation last{m_budget};
    BOOST_TEST(!last.resize(max_small_holder, start));
    BOOST_TEST(!small.back().resize(max_small_holder + 1, start));
}

// Guards against bodies that stop just short of their end and keep the budget for good.
BOOST_AUTO_TEST_CASE(the_largest_stalled_body_is_evicted_for_a_newcomer)
{
    const auto stalled = start - stalled_body_time;
    evictable_holder moving{m_budget, eviction_kind::stalled_body, 5'000'000, start};
    evictable_holder smaller{m_budget, eviction_kind::stalled_body, 2'000'000, stalled};
    evictable_holder larger{m_budget, eviction_kind::stalled_body, 3'000'000, stalled};
    memory_reservation newcomer{m_budget};
    BOOST_TEST(newcomer.resize(1'000'000, start));
    BOOST_TEST(larger.m_is_evicted);
    BOOST_TEST(!smaller.m_is_evicted);
    BOOST_TEST(!moving.m_is_evicted);
    BOOST_TEST(m_budget->counters().m_evicted_bodies == 1U);
    BOOST_TEST(m_budget->reserved() == 8'000'000U);
}

// Guards against evictions that end a request and still leave no room for the newcomer.
BOOST_AUTO_TEST_CASE(no_holder_is_evicted_in_vain)
{
    const auto stalled = start - stalled_body_time;
    evictable_holder body{m_budget, eviction_kind::stalled_body, 2'000'000, stalled};
    memory_reservation fixed{m_budget};
    BOOST_TEST(fixed.resize(8'000'000, start));
    memory_reservation newcomer{m_budget};
    BOOST_TEST(!newcomer.resize(2'000'001, start));
    BOOST_TEST(!body.m_is_evicted);
    BOOST_TEST(newcomer.resize(2'000'000, start));
    BOOST_TEST(body.m_is_evicted);
}

// Guards against answers that nobody reads and that keep the budget for good, and against closing
// the connection of a reader that takes a pause of a few seconds.
BOOST_AUTO_TEST_CASE(an_unread_answer_is_evicted_after_its_own_time_and_after_stalled_bodies)
{
    evictable_holder pausing{m_budget, eviction_kind::unread_answer, 4'000'000,
                             start - stalled_answer_time + 1ms};
    evictable_holder unread{m_budget, eviction_kind::unread_answer, 4'000'000,
                            start - stalled_answer_time};
    evictable_holder body{m_budget, eviction_kind::stalled_body, 2'000'000,
                          start - stalled_body_time};
    memory_reservation first{m_budget};
    BOOST_TEST(first.resize(1'000'000, start));
    BOOST_TEST(body.m_is_evicted);
    BOOST_TEST(!unread.m_is_evicted);
    memory_reservation second{m_budget};
    BOOST_TEST(second.resize(3'000'000, start));
    BOOST_TEST(unread.m_is_evicted);
    BOOST_TEST(!pausing.m_is_evicted);
    BOOST_TEST(m_budget->counters().m_closed_readers == 1U);
}

// Guards against an eviction of a body that is complete and may be running.
BOOST_AUTO_TEST_CASE(a_permanent_holder_is_not_evicted)
{
    evictable_holder body{m_budget, eviction_kind::stalled_body, capacity, start - 60s};
    body.m_reservation.set_permanent();
    memory_reservation newcomer{m_budget};
    BOOST_TEST(!newcomer.resize(100'000, start));
    BOOST_TEST(!body.m_is_evicted);
}

// Guards against a machine of 160 MB that cannot serve the largest body, which its own gate
// receives as well.
BOOST_AUTO_TEST_CASE(the_capacity_leaves_memory_for_the_process)
{
    BOOST_TEST(budget_capacity(0) == 0U);
    BOOST_TEST(budget_capacity(32) == 8'000'000U);
    BOOST_TEST(budget_capacity(64) == 40'000'000U);
    BOOST_TEST(budget_capacity(160) >= 2 * std::size_t{67'108'864});
}

BOOST_AUTO_TEST_SUITE_END()
