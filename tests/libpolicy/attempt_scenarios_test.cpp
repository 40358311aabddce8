#include "libbase/digest.h"
#include "libpolicy/count_from_environment.h"
#include "libpolicy/fleet_harness.h"
#include "libpolicy/ingress/attempts.h"
#include "libpolicy/naive_proxy.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <numeric>

using namespace chivevane;
using namespace chivevane::test;

namespace {

using caller_end = caller_record::end;

std::size_t total(const std::vector<std::size_t>& counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::size_t{0});
}

bool is_answered_completely(const caller_record& record)
{
    const auto expected = fleet::body_for(record.m_id, record.m_head.m_target);
    return record.m_end == caller_end::complete && record.m_status == 200 &&
           sha256_hex(record.m_body) == sha256_hex(expected);
}

/// A download that breaks off, and whether it is expected to be resumed.
struct broken_download {
    std::string_view m_name;
    std::string m_method = "GET";
    std::size_t m_breaks = 1; ///< Answers that break off before one is complete.
    std::string m_etag;       ///< The ETag of the answers that break off; empty keeps the model's.
    std::vector<http_field> m_fields; ///< Fields that the caller adds to the request.
    bool m_is_resumed = false;
    std::string m_rest_etag;  ///< The ETag of the answers after those; empty keeps the model's.
    std::string m_rest_range; ///< The Content-Range of the answers after those; empty keeps
                              ///< the model's.
};

std::ostream& operator<<(std::ostream& out, const broken_download& each)
{
    return out << each.m_name;
}

const std::vector<broken_download> broken_downloads{
    {"broken once", "GET", 1, "", {}, true},
    {"broken with a weak ETag", "GET", 1, "W/\"1\"", {}, false},
    {"changed on the other upstream", "GET", 1, "\"old\"", {}, false},
    {"not idempotent", "POST", 1, "", {}, false},
    {"rest of another version", "GET", 1, "", {}, false, "\"new\""},
    {"another part than was asked for", "GET", 1, "", {}, false, "", "bytes 1999-3998/4003"},
    {"broken twice, as if it crashed upstreams", "GET", 2, "", {}, false},
    {"a part that the caller asked for", "GET", 1, "", {{"Range", "bytes=0-"}}, false},
};

/// Sends the crashing request to the next host if `last` has ended. Returns the index of the latest
/// request.
std::size_t repeat_crashing_request(fleet& tested, std::size_t last, std::string_view method,
                                    std::size_t hosts)
{
    if (tested.m_callers[last].m_end == caller_end::none) {
        return last;
    }
    return tested.call((tested.m_callers[last].m_host + 1) % hosts, std::string{method}, "/killer");
}

/// Keeps sending a request that crashes any upstream that runs it, along with other requests.
/// Returns the indices of the other requests.
std::vector<std::size_t> run_crashing_request(fleet& tested, std::string_view method,
                                              duration length)
{
    tested.m_replace_answer = [](std::size_t, const request_head& head, upstream_answer answer) {
        answer.m_crashes = head.m_target == "/killer";
        answer.m_latency = 5ms;
        return answer;
    };
    std::vector<std::size_t> others;
    const auto begin = tested.m_now;
    std::size_t crashing_request = 0;
    for (std::size_t step = 0; tested.m_now < begin + length; ++step) {
        if (tested.m_now == begin + 3s) { // By then the retry budget holds some retries.
            crashing_request = tested.call(0, std::string{method}, "/killer");
        }
        if (crashing_request != 0) {
            crashing_request = repeat_crashing_request(tested, crashing_request, method, 3);
        }
        if (step % 10 == 0) {
            others.push_back(tested.call(step % 3, "GET", step % 20 == 0 ? "/popular" : "/other"));
        }
        tested.run_for(2ms);
    }
    return others;
}

} // namespace

BOOST_AUTO_TEST_SUITE(attempt_scenarios)

BOOST_DATA_TEST_CASE(a_broken_download_is_resumed_or_aborted,
                     boost::unit_test::data::make(broken_downloads), each)
{
    fleet tested{1, {}};
    std::size_t answers = 0;
    tested.m_replace_answer = [&](std::size_t, const request_head&, upstream_answer answer) {
        if (++answers <= each.m_breaks) {
            answer.m_breaks_after = 1000;
            if (!each.m_etag.empty()) {
                answer.m_head.m_fields.at(0).m_value = each.m_etag;
            }
        }
        else if (!each.m_rest_etag.empty()) {
            answer.m_head.m_fields.at(0).m_value = each.m_rest_etag;
        }
        else if (!each.m_rest_range.empty()) {
            answer.m_head.m_fields.at(1).m_value = each.m_rest_range;
        }
        return answer;
    };
    const auto index = tested.call(0, each.m_method, "/image", each.m_fields);
    tested.run_for(10s);
    const auto& record = tested.m_callers.at(index);
    BOOST_TEST(is_answered_completely(record) == each.m_is_resumed);
    BOOST_TEST((record.m_end == caller_end::aborted) == !each.m_is_resumed);
    BOOST_TEST(!record.m_body.empty());
}

BOOST_AUTO_TEST_CASE(a_download_survives_two_connections_between_hosts_that_go_silent)
{
    fleet tested{1, {}};
    for (std::size_t step = 0; step < 40; ++step) { // Fills the retry budget.
        tested.call(0, "GET", "/permits/" + std::to_string(step));
        tested.run_for(10ms);
    }
    int silenced = 0;
    tested.m_messages_before_silence = [&](const start_transfer& transfer) {
        return transfer.m_port == 7002 && ++silenced <= 2 ? 3 : -1;
    };
    const auto index = tested.call(0, "GET", "/image");
    tested.run_for(30s);
    BOOST_TEST(silenced == 3);
    BOOST_TEST(is_answered_completely(tested.m_callers.at(index)));
}

BOOST_AUTO_TEST_CASE(a_service_that_fails_entirely_gets_at_most_a_tenth_more_load)
{
    const auto load_with = [](const event_handler_factory& factory,
                              upstream_answer (*fail)(upstream_answer)) {
        fleet tested{1, {}, 3, factory};
        tested.m_replace_answer = [fail](std::size_t, const request_head&, upstream_answer answer) {
            return fail(std::move(answer));
        };
        for (std::size_t step = 0; step < 1500; ++step) {
            tested.call(step % 3, "GET", "/permits/" + std::to_string(step));
            tested.run_for(10ms);
        }
        tested.run_for(10s);
        const auto load = static_cast<double>(tested.m_upstream_requests) / 1500;
        BOOST_TEST_MESSAGE("load=" << load);
        return load;
    };
    const auto refuse = [](upstream_answer answer) {
        answer.m_head.m_status = 503;
        return answer;
    };
    const auto break_off = [](upstream_answer answer) {
        answer.m_breaks_after = 0;
        return answer;
    };
    const auto be_slow = [](upstream_answer answer) {
        answer.m_latency = 150ms;
        return answer;
    };
    BOOST_TEST(load_with(make_event_handler, refuse) <= 1.1);
    BOOST_TEST(load_with(make_event_handler, break_off) <= 1.1);
    BOOST_TEST(load_with(make_event_handler_with_silence_limit, be_slow) <= 1.1);
    BOOST_TEST(load_with(make_naive_event_handler, break_off) > 1.1);
}

BOOST_DATA_TEST_CASE(a_request_that_crashes_upstreams_crashes_two_at_most,
                     boost::unit_test::data::make({"GET", "POST"}) *
                         boost::unit_test::data::make({0.0, 0.3}),
                     method, loss)
{
    for (std::uint64_t seed = 1; seed <= count_from_environment("CHIVEVANE_KILLER_SEEDS", 1);
         ++seed) {
        fleet tested{seed, {}};
        tested.m_faults.m_datagram_loss = loss;
        const auto others = run_crashing_request(tested, method, 20s);
        BOOST_TEST(total(tested.m_crashes) == 2U, "seed " << seed);
        tested.run_for(10s);
        const auto failed = std::count_if(others.begin(), others.end(), [&](std::size_t index) {
            return !is_answered_completely(tested.m_callers[index]);
        });
        BOOST_TEST(failed == 0, "seed " << seed << ": " << failed << " others failed");
    }
}

namespace {

/// Sends the crashing request to each host in turn, as long as `rounds` say.
void send_crashing_request(fleet& tested, std::size_t rounds)
{
    for (std::size_t round = 0; round < rounds; ++round) {
        for (std::size_t host = 0; host < 3; ++host) {
            tested.call(host, "GET", "/killer");
            tested.run_for(2s);
        }
    }
}

} // namespace

/// Guards against a quarantine that only processes from before a series of restarts know.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_upstreams_is_still_refused_after_restarts_in_turn)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet tested{seed, {}};
        run_crashing_request(tested, "GET", 10s);
        BOOST_TEST(total(tested.m_crashes) == 2U);
        for (int roll = 0; roll < 2; ++roll) {
            for (std::size_t host = 0; host < 3; ++host) {
                tested.restart(host);
                tested.run_for(6s);
            }
            send_crashing_request(tested, 1);
            BOOST_TEST(total(tested.m_crashes) == 2U, "seed " << seed);
        }
    }
}

/// Guards against two more crashes after each quarantine of a request that comes back for ever.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_upstreams_again_is_refused_for_longer)
{
    fleet tested{1, {}};
    run_crashing_request(tested, "GET", 10s);
    BOOST_TEST(total(tested.m_crashes) == 2U);
    tested.run_for(60s);
    send_crashing_request(tested, 1);
    BOOST_TEST(total(tested.m_crashes) == 3U);
    for (int minute = 1; minute <= 7; ++minute) {
        tested.run_for(54s);
        send_crashing_request(tested, 1);
        BOOST_TEST(total(tested.m_crashes) == 3U, "minute " << minute);
    }
    tested.run_for(2min);
    send_crashing_request(tested, 1);
    BOOST_TEST(total(tested.m_crashes) == 4U);
}

/// Guards against hosts that send to an upstream again that told them that it leaves, after a
/// restart of the process beside it.
BOOST_AUTO_TEST_CASE(an_upstream_that_said_that_it_leaves_gets_nothing_after_its_gate_restarts)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet tested{seed, {}};
        std::size_t arrivals = 0;
        tested.m_replace_answer = [&](std::size_t host, const request_head&,
                                      upstream_answer answer) {
            if (host == 1) {
                ++arrivals;
                answer.m_head.m_fields.push_back({"X-Leaving", "1"});
            }
            return answer;
        };
        const auto send_requests = [&tested](duration length) {
            for (const auto end = tested.m_now + length; tested.m_now < end;) {
                tested.call(0, "GET", "/notes");
                tested.call(2, "GET", "/notes");
                tested.run_for(20ms);
            }
        };
        send_requests(1s);
        BOOST_TEST(arrivals > 0U, "seed " << seed);
        arrivals = 0;
        tested.restart(1);
        send_requests(10s);
        BOOST_TEST(arrivals == 0U, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(a_quarantine_expires_and_a_naive_proxy_keeps_crashing_upstreams)
{
    fleet tested{1, {}};
    run_crashing_request(tested, "GET", 10s);
    BOOST_TEST(total(tested.m_crashes) == 2U);
    tested.run_for(70s);
    tested.m_replace_answer = nullptr;
    const auto after_expiry = tested.call(0, "GET", "/killer");
    tested.run_for(1s);
    BOOST_TEST(is_answered_completely(tested.m_callers[after_expiry]));
    for (const auto& each : tested.m_event_handlers) {
        BOOST_TEST(each.m_host_state->m_gate.m_quarantine.m_suspects.empty());
    }
    fleet naive{1, {}, 3, make_naive_event_handler};
    run_crashing_request(naive, "GET", 10s);
    BOOST_TEST(total(naive.m_crashes) > 2U);
}

BOOST_AUTO_TEST_CASE(a_request_on_a_silent_connection_is_resent_once_and_runs_once)
{
    for (const std::string method : {"GET", "POST"}) {
        fleet tested{1, {}, 3, make_event_handler_with_silence_limit};
        for (int step = 0; step < 20; ++step) { // The ingress learns the clocks of all gates.
            tested.call(0, method, "/first");
            tested.run_for(50ms);
        }
        std::string silenced;
        std::vector<std::string> tried;
        tested.m_messages_before_silence = [&](const start_transfer& transfer) {
            if (transfer.m_port != 7002) {
                return -1;
            }
            tried.push_back(transfer.m_ip);
            const bool is_first = std::exchange(silenced, "yes").empty();
            BOOST_TEST((is_first || transfer.m_connection_reuse == connection_reuse::forbidden));
            return is_first ? 0 : -1;
        };
        const auto index = tested.call(0, method, "/silent");
        tested.run_for(1s);
        BOOST_TEST(is_answered_completely(tested.m_callers[index]));
        BOOST_TEST(tested.runs_of(tested.m_callers[index].m_id) == 1U);
        BOOST_TEST(tried.size() == 2U);
    }
}

BOOST_AUTO_TEST_CASE(a_hedge_wins_and_the_loser_is_cancelled)
{
    const auto make_hedging = [](host_settings settings, effect_list& effects, instant now) {
        auto made = make_event_handler(std::move(settings), effects, now);
        made.m_reduce = [self = made.m_host_state](const event& occurrence) {
            auto result = reduce(*self, occurrence);
            for (auto& [exchange, request] : self->m_ingress.m_requests) {
                if (request.m_attempts.size() == 1) { // The hedge delay is set to 20 ms.
                    request.m_hedge_at = request.m_attempts[0].m_started_at + 20ms;
                    ingress::reschedule(self->m_ingress, request);
                }
            }
            return result;
        };
        return made;
    };
    fleet tested{1, {}, 3, make_hedging};
    std::size_t answers = 0;
    tested.m_replace_answer = [&](std::size_t, const request_head&, upstream_answer answer) {
        answer.m_latency = ++answers == 1 ? duration{500ms} : duration{5ms};
        return answer;
    };
    std::size_t cancelled = 0;
    tested.m_observer = [&](std::size_t, const effect& item) {
        cancelled += std::holds_alternative<cancel_transfer>(item);
    };
    const auto index = tested.call(0, "GET", "/late");
    tested.run_for(1s);
    const auto& record = tested.m_callers[index];
    BOOST_TEST(is_answered_completely(record));
    BOOST_TEST((record.m_ended_at - record.m_sent_at < duration{100ms}));
    BOOST_TEST(answers == 2U);
    BOOST_TEST(cancelled == 2U); // One by the ingress and one by the slower gate.
}

BOOST_AUTO_TEST_CASE(a_slow_answer_is_awaited)
{
    for (const std::string method : {"GET", "POST"}) {
        fleet tested{1, {}, 3, make_event_handler_with_silence_limit};
        tested.m_replace_answer = [](std::size_t, const request_head&, upstream_answer answer) {
            answer.m_latency = 1200ms;
            return answer;
        };
        const auto index = tested.call(0, method, "/slow");
        tested.run_for(5s);
        BOOST_TEST(is_answered_completely(tested.m_callers[index]));
        BOOST_TEST(tested.runs_of(tested.m_callers[index].m_id) <= (method == "POST" ? 1U : 2U));
    }
}

BOOST_AUTO_TEST_CASE(a_leaving_host_finishes_its_requests_and_loses_none)
{
    fleet tested{1, {}};
    tested.m_replace_answer = [](std::size_t, const request_head&, upstream_answer answer) {
        answer.m_latency = 50ms;
        return answer;
    };
    bool has_stopped = false;
    bool has_taken_late_work = false;
    std::optional<instant> left_at;
    tested.m_observer = [&](std::size_t host, const effect& item) {
        has_stopped |= host == 1 && std::holds_alternative<stop_process>(item);
        const auto* const transfer = std::get_if<start_transfer>(&item);
        has_taken_late_work |= transfer != nullptr && transfer->m_port == 9000 && host == 1 &&
                               left_at && tested.m_now > *left_at + 3s;
    };
    for (std::size_t step = 0; step < 500; ++step) {
        if (step == 100) {
            left_at = tested.m_now;
            tested.feed(1, leave_requested{});
            BOOST_TEST(!has_stopped);
        }
        tested.call(step % 3, step % 2 == 0 ? "GET" : "POST", "/permits/" + std::to_string(step));
        tested.run_for(10ms);
    }
    tested.run_for(5s);
    BOOST_TEST(has_stopped);
    BOOST_TEST(!has_taken_late_work);
    for (const auto& record : tested.m_callers) {
        const bool is_refused = record.m_host == 1 && record.m_sent_at >= *left_at;
        BOOST_TEST(is_answered_completely(record) == !is_refused);
        BOOST_TEST(record.is_refusal("not-run") == is_refused);
    }
}

BOOST_AUTO_TEST_CASE(a_gate_treats_replaced_document_revisions_as_outdated)
{
    known_revisions known;
    configuration_state configuration;
    configuration.m_documents["tides"].m_stored.m_revision = 4;
    gate::record_revisions(known, configuration, instant{10s});
    configuration.m_documents["tides"].m_stored.m_revision = 5;
    gate::record_revisions(known, configuration, instant{20s});
    gate::record_revisions(known, configuration, instant{22s});
    BOOST_TEST(!gate::is_outdated(known, "tides", 4, instant{22s}));
    BOOST_TEST(gate::is_outdated(known, "tides", 4, instant{24s}));
    BOOST_TEST(!gate::is_outdated(known, "tides", 5, instant{24s}));
    BOOST_TEST(!gate::is_outdated(known, "tides", 6, instant{24s}));
    BOOST_TEST(!gate::is_outdated(known, "permits", 1, instant{24s}));
}

BOOST_AUTO_TEST_SUITE_END()
