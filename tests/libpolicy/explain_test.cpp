#include "libpolicy/explain_fixture.h"
#include "libwire/attempt_metadata.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <set>

using namespace chivevane;
using namespace chivevane::test;

namespace {

constexpr std::array both_placements{placement_mode::weighted, placement_mode::probing};

/// Counts what became of requests, so that a test shows that it met every case.
struct outcome_counts {
    std::map<std::string, std::size_t, std::less<>> m_by_name;

    void add(std::string_view name) { ++m_by_name[std::string{name}]; }
};

const candidate_explanation* find_candidate(const request_explanation& explanation,
                                            std::string_view service, const upstream_id& upstream)
{
    for (const auto& each : explanation.m_services) {
        for (const auto& candidate : each.m_candidates) {
            if (each.m_service == service && candidate.m_upstream == upstream) {
                return &candidate;
            }
        }
    }
    return nullptr;
}

void check_route(const route_explanation& route, const attempt_metadata& metadata)
{
    BOOST_TEST(route.m_document == metadata.m_document);
    BOOST_TEST(route.m_revision == metadata.m_revision);
    BOOST_TEST(route.m_route == metadata.m_route);
    BOOST_TEST(route.m_organisation == metadata.m_organisation);
    BOOST_TEST(route.m_gate_priority == metadata.m_priority);
    const auto sent_left = std::max<std::int64_t>(to_milliseconds(route.m_time_left) - 5, 1);
    BOOST_TEST(sent_left == metadata.m_timeout_left.count()); // Gates get a margin of 5 ms.
}

/// Compares the first attempt of a request with its explanation.
void check_attempt(const request_explanation& explanation, const start_transfer& transfer)
{
    const auto metadata = value_of(parse_attempt_metadata(transfer.m_head, 0, "secret"));
    BOOST_TEST(!explanation.m_refusal);
    BOOST_TEST_REQUIRE(explanation.m_next.has_value());
    BOOST_TEST(explanation.m_next->m_service == metadata.m_service);
    BOOST_TEST(explanation.m_next->m_upstream.m_endpoint == metadata.m_endpoint);
    const auto& host = explanation.m_next->m_upstream.m_host;
    BOOST_TEST(transfer.m_ip == (host == "marsh-1" ? "127.0.1.1" : host));
    const auto* const candidate =
        find_candidate(explanation, metadata.m_service, explanation.m_next->m_upstream);
    BOOST_TEST_REQUIRE(candidate != nullptr);
    BOOST_TEST(candidate->m_step == 1U);
    BOOST_TEST(candidate->m_probability > 0);
    BOOST_TEST((candidate->m_queueing == metadata.m_queueing));
    BOOST_TEST((candidate->m_circuit_breaker_mode == metadata.m_circuit_breaker_mode));
    check_route(explanation.m_route.value(), metadata);
}

/// Compares a refusal with the explanation, problem document included.
void check_refusal(const request_explanation& explanation, const respond& answer)
{
    if (explanation.m_refusal) {
        BOOST_TEST((make_refusal(answer.m_exchange, *explanation.m_refusal) == answer));
        BOOST_TEST(!explanation.m_next);
        return;
    }
    const auto& services = explanation.m_services;
    const bool is_explained = std::any_of(services.begin(), services.end(), [&](const auto& each) {
        return each.m_refusal && make_refusal(answer.m_exchange, *each.m_refusal) == answer;
    });
    BOOST_TEST(is_explained);
    BOOST_TEST(!explanation.m_next);
}

/// Checks that a request waits for the decision of the host that the explanation names.
void check_waiting(const request_explanation& explanation, const effect_list& effects,
                   outcome_counts& counts)
{
    BOOST_TEST_REQUIRE(explanation.m_rate.has_value());
    const auto& rate = *explanation.m_rate;
    BOOST_TEST((rate.m_decision == token_decision_forecast::asks_other_host));
    for (const auto& sent : effects_of_type<send_datagram>(effects)) {
        if (std::holds_alternative<token_request>(sent.m_message)) {
            BOOST_TEST_REQUIRE(rate.m_deciding_hosts.size() == 1U);
            BOOST_TEST(sent.m_to.m_ip == rate.m_deciding_hosts.front());
        }
        if (std::holds_alternative<loan_request>(sent.m_message)) {
            const auto& hosts = rate.m_deciding_hosts;
            const auto lender = std::find_if(hosts.begin(), hosts.end(),
                                             [](const auto& host) { return host != "marsh-1"; });
            BOOST_TEST_REQUIRE((lender != hosts.end()));
            BOOST_TEST(sent.m_to.m_ip == *lender);
            counts.add("loan");
        }
    }
}

void check_agreement(const request_explanation& explanation, const effect_list& effects,
                     outcome_counts& counts)
{
    const auto transfers = effects_of_type<start_transfer>(effects);
    const auto answers = effects_of_type<respond>(effects);
    if (!transfers.empty()) {
        counts.add("sent");
        check_attempt(explanation, transfers.front());
    }
    else if (!answers.empty()) {
        const auto type = answers.front().m_body.find("urn:chivevane:problem:");
        const auto end = answers.front().m_body.find('"', type);
        counts.add(answers.front().m_body.substr(type + 22, end - type - 22));
        check_refusal(explanation, answers.front());
    }
    else {
        counts.add("waiting");
        check_waiting(explanation, effects, counts);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(explanations)

/// Guards against an explanation that has its own logic and drifts from that of requests, and
/// against one that spends tokens, random numbers or anything else of the state: the request must
/// have the same effects on a host that explained it before and on a copy that did not.
BOOST_AUTO_TEST_CASE(an_explained_plan_and_a_request_sent_right_after_it_agree)
{
    for (const auto placement : both_placements) {
        outcome_counts counts;
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            explain_fixture host{placement, seed};
            host.add_hindrance();
            for (int round = 0; round < 30; ++round) {
                const auto request = host.make_request();
                auto copy = host.m_host_state;
                const auto explanation = host.explain(request);
                const event arrival{host.m_now, 0, request.m_inbound};
                const auto effects = reduce(host.m_host_state, arrival);
                check_agreement(explanation, effects, counts);
                BOOST_TEST((reduce(copy, arrival) == effects));
                BOOST_TEST((copy.m_random == host.m_host_state.m_random));
                BOOST_TEST(copy.m_last_id == host.m_host_state.m_last_id);
            }
        }
        for (const auto& [name, count] : counts.m_by_name) {
            BOOST_TEST_MESSAGE((placement == placement_mode::probing ? "probing " : "weighted ")
                               << name << ": " << count);
        }
        for (const auto* const name : {"sent", "waiting", "loan", "rate-exceeded", "no-upstream",
                                       "quarantined", "key-missing", "key-unknown", "no-route",
                                       "malformed-request", "leaving", "not-ready"}) {
            BOOST_TEST(counts.m_by_name[name] > 0U, name);
        }
        BOOST_TEST((placement == placement_mode::weighted || counts.m_by_name["overloaded"] > 0));
    }
}

/// Guards against probabilities that are not those of the choice, such as ones that leave out the
/// comparison of two picks. The bound is five standard deviations.
BOOST_AUTO_TEST_CASE(probabilities_are_those_with_which_gates_are_chosen)
{
    constexpr int rounds = 4000;
    for (const auto placement : both_placements) {
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            explain_fixture host{placement, seed};
            const auto request = host.make_request("GET", "/tides/7", "");
            std::map<upstream_id, int> chosen;
            for (int round = 0; round < rounds; ++round) {
                host.m_host_state.m_random.seed(static_cast<std::uint64_t>(round), seed);
                ++chosen[host.explain(request).m_next.value().m_upstream];
            }
            double sum = 0;
            const auto explanation = host.explain(request);
            for (const auto& candidate : explanation.m_services.at(0).m_candidates) {
                const auto expected = candidate.m_probability;
                const auto share = chosen[candidate.m_upstream] / static_cast<double>(rounds);
                const auto bound = 5 * std::sqrt(expected * (1 - expected) / rounds) + 1e-9;
                BOOST_TEST(std::abs(share - expected) <= bound, candidate.m_upstream.m_host
                                                                    << " chosen " << share
                                                                    << ", explained " << expected);
                sum += expected;
            }
            BOOST_TEST(std::abs(sum - 1) < 1e-9);
        }
    }
}

/// Guards against an order of candidates that is not that in which gates are asked while they
/// refuse. A gate that was passed over may be asked later, once the attempt may queue.
BOOST_AUTO_TEST_CASE(gates_are_asked_in_the_order_of_the_steps)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        explain_fixture host{placement_mode::probing, seed};
        const auto request = host.make_request("GET", "/tides/7", "");
        const auto explanation = host.explain(request);
        auto effects = host.feed(request.m_inbound);
        std::set<std::string> asked;
        std::size_t step = 0;
        for (auto sent = effects_of_type<start_transfer>(effects); !sent.empty();
             sent = effects_of_type<start_transfer>(effects)) {
            const auto metadata = value_of(parse_attempt_metadata(sent[0].m_head, 0, "secret"));
            const auto& candidates = explanation.m_services.at(0).m_candidates;
            const auto found =
                std::find_if(candidates.begin(), candidates.end(), [&](const auto& each) {
                    return each.m_upstream.m_endpoint == metadata.m_endpoint;
                });
            BOOST_TEST_REQUIRE((found != candidates.end()));
            BOOST_TEST(found->m_step > 0U);
            const bool may_start_only =
                metadata.m_queueing == queueing_permission::forbidden &&
                metadata.m_circuit_breaker_mode == circuit_breaker_mode::enforce;
            if (asked.insert(metadata.m_endpoint).second && may_start_only) {
                BOOST_TEST(found->m_step >= step, "seed " << seed);
                step = found->m_step;
            }
            effects = host.feed(
                transfer_head{sent[0].m_transfer,
                              {503,
                               {{std::string{attempt_field},
                                 std::string{*find_field(sent[0].m_head.m_fields, attempt_field)}},
                                {std::string{reason_field}, "busy"},
                                {std::string{execution_status_field}, "not-run"}}}});
        }
        BOOST_TEST(!asked.empty());
    }
}

/// Guards against an organisation named by the operator that is treated otherwise than its key.
BOOST_AUTO_TEST_CASE(an_organisation_gets_the_explanation_of_its_key)
{
    for (const auto placement : both_placements) {
        explain_fixture host{placement, 3};
        auto request = host.make_request("POST", "/shared", "abbey-key");
        const auto by_key = host.explain(request);
        request.m_query.m_credential = key_owner{"marshes", "abbey"};
        const auto by_name = host.explain(request);
        BOOST_TEST(by_key.m_route.value().m_organisation == "abbey");
        BOOST_TEST(by_name.m_route.value().m_organisation == "abbey");
        BOOST_TEST(by_name.m_route.value().m_configured_priority == 2U);
        BOOST_TEST(by_name.m_rate.value().m_limit.m_rate == 1);
        BOOST_TEST((by_name.m_next.has_value() == by_key.m_next.has_value()));
        request.m_query.m_credential = key_owner{"permits", "clerk"};
        BOOST_TEST(
            (host.explain(request).m_refusal.value().m_kind == refusal_kind::route_forbidden));
    }
}

/// Guards against beliefs that are shown without their age or with a wrong source.
BOOST_AUTO_TEST_CASE(each_belief_has_its_source_and_age)
{
    explain_fixture host{placement_mode::probing, 5};
    const upstream_id known{"host-2", "tides-2"};
    host.m_host_state.m_membership.m_members["host-2"].m_status = member_status::alive;
    auto& record = host.m_host_state.m_ingress.m_destinations.m_records[known];
    record = {};
    record.m_load = 0.5;
    record.m_load_updated_at = host.m_now - 30ms;
    record.m_circuit_open_until = host.m_now + 70ms;
    record.m_circuit_seen_open_at = host.m_now - 230ms;
    auto& summary = host.m_host_state.m_membership.m_members["host-2"].m_record.m_upstreams.front();
    summary.m_phase = upstream_phase::serving;
    summary.m_concurrency = 4;
    summary.m_queued = 2;
    host.m_host_state.m_membership.m_members["host-2"].m_last_round_at = host.m_now - 1500ms;
    const auto request = host.make_request("GET", "/tides/7", "");
    const auto probing = host.explain(request);
    const auto* const asked = find_candidate(probing, "tides", known);
    BOOST_TEST_REQUIRE(asked != nullptr);
    BOOST_TEST(asked->m_load.value() == 0.5);
    BOOST_TEST((asked->m_load_age == 30ms));
    BOOST_TEST((asked->m_load_source == load_source::gate_answer));
    BOOST_TEST((asked->m_belief.value().m_circuit_open_for == 70ms));
    BOOST_TEST((asked->m_belief.value().m_circuit_seen_open_ago.value() == 230ms));
    BOOST_TEST((asked->m_record_age == 1500ms));
    host.m_host_state.m_settings.m_placement = placement_mode::weighted;
    const auto weighted = host.explain(request);
    const auto* const drawn = find_candidate(weighted, "tides", known);
    BOOST_TEST_REQUIRE(drawn != nullptr);
    BOOST_TEST(drawn->m_load.value() == 0.5);
    BOOST_TEST((drawn->m_load_age == 1500ms));
    BOOST_TEST((drawn->m_load_source == load_source::host_record));
    BOOST_TEST(!drawn->m_belief.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
