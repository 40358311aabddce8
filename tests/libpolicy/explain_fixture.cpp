#include "libpolicy/explain_fixture.h"

#include "libbase/digest.h"
#include "libpolicy/gate/quarantine.h"

#include <fmt/format.h>

namespace chivevane::test {

namespace {

constexpr std::uint32_t host_count = 8;

std::string explained_document()
{
    return fmt::format(R"(document: marshes
organisations:
  - {{name: parish, rate: 10, burst: 10, keys: [{{name: first, digest: {}}}]}}
  - {{name: abbey, rate: 1, burst: 1, priority: 2, keys: [{{name: first, digest: {}}}]}}
  - {{name: guild, unlimited: true, keys: [{{name: first, digest: {}}}]}}
services:
  - {{name: tides, floor: 0.5}}
  - {{name: permits, floor: 0.5}}
  - {{name: nowhere}}
routes:
  - {{name: notes, path_prefix: /tides, service: tides, open_to_all: true}}
  - {{name: permits, path_prefix: /permits, service: permits, timeout_ms: 2000, priority: 1}}
  - name: shared
    path_prefix: /shared
    latency_target_ms: 300
    targets: [{{service: tides, weight: 3}}, {{service: permits, weight: 1}}]
  - name: partial
    path_prefix: /partial
    open_to_all: true
    targets: [{{service: tides, weight: 1}}, {{service: nowhere, weight: 1}}]
  - {{name: dead, path_prefix: /dead, service: nowhere, open_to_all: true}}
)",
                       sha256_hex("parish-key"), sha256_hex("abbey-key"), sha256_hex("guild-key"));
}

} // namespace

explain_fixture::explain_fixture(placement_mode placement, std::uint64_t seed) : m_choices{seed}
{
    auto& settings = m_host_state.m_settings;
    settings.m_placement = placement;
    settings.m_rate_mode = pick(2) == 0 ? rate_mode::exact : rate_mode::metered;
    load_document("marshes", explained_document());
    load_document("permits",
                  "document: permits\norganisations: [{name: clerk, rate: 1, burst: 1}]\n");
    announce("tides-own", "tides");
    for (std::uint32_t number = 2; number < 2 + host_count; ++number) {
        add_host(number);
    }
    for (const auto& upstream : m_upstreams) {
        add_beliefs(upstream);
    }
    if (pick(2) == 0) {
        m_host_state.m_limits.m_leases.m_next_round = m_now; // Ranks the hosts above as brokers.
    }
    m_host_state.m_random.seed(seed);
    add_suspects();
}

void explain_fixture::add_hindrance()
{
    switch (pick(12)) {
    case 0:
        m_host_state.m_ingress.m_is_leaving = true;
        break;
    case 1:
        m_host_state.m_configuration.m_is_ready = false;
        break;
    case 2:
    case 3:
        add_full_queues();
        break;
    default:
        break;
    }
}

void explain_fixture::add_host(std::uint32_t number)
{
    const auto name = fmt::format("host-{}", number);
    auto& peer = m_host_state.m_membership.m_members[name];
    peer.m_record = {{name, 1}, number % 2 == 0 ? "marsh" : "dike", {name, 7001, 7002, 7003, 7004}};
    peer.m_last_round_at = m_now - std::chrono::milliseconds{pick(2000)};
    peer.m_status = pick(8) == 0 ? member_status::suspect : member_status::alive;
    for (const std::string service : {"tides", "permits"}) {
        upstream_summary upstream{fmt::format("{}-{}", service, number), service, 1 + pick(8),
                                  pick(8), pick(6)};
        upstream.m_phase = pick(8) == 0 ? upstream_phase::draining : upstream_phase::serving;
        peer.m_record.m_upstreams.push_back(upstream);
        m_upstreams.push_back({name, upstream.m_endpoint});
    }
}

void explain_fixture::add_beliefs(const upstream_id& upstream)
{
    const auto moment = [this] { return m_now + std::chrono::milliseconds{pick(400)} - 200ms; };
    auto& record = m_host_state.m_ingress.m_destinations.m_records[upstream];
    if (pick(3) == 0) {
        record.m_busy_until = moment();
    }
    if (pick(4) == 0) {
        record.m_full_until = moment();
        record.m_full_priority = pick(20);
    }
    if (pick(6) == 0) {
        record.m_circuit_open_until = moment();
        record.m_circuit_seen_open_at = m_now - 100ms;
    }
    if (pick(8) == 0) {
        record.m_unreachable_until = moment();
    }
    if (pick(2) == 0) {
        record.m_load = pick(8) / 4.0;
        record.m_load_updated_at = m_now - std::chrono::milliseconds{pick(200)};
    }
    auto& health = m_host_state.m_health.m_upstreams[upstream];
    health.m_service = upstream.m_endpoint.substr(0, upstream.m_endpoint.find('-'));
    health.m_ejection.m_status = static_cast<health::health_status>(pick(4));
    health.m_ejection.m_since = m_now - 1s;
    health.m_ejection.m_ejection_time = 1min;
}

/// Makes all gates known to have neither a free slot nor room in their queues.
void explain_fixture::add_full_queues()
{
    auto& records = m_host_state.m_ingress.m_destinations.m_records;
    records[{"marsh-1", "tides-own"}] = {};
    for (auto& [upstream, record] : records) {
        record = {};
        record.m_busy_until = m_now + 100ms;
        record.m_full_until = m_now + 100ms;
    }
}

void explain_fixture::add_suspects()
{
    for (const auto& [target, runs] : {std::pair{"/tides/suspected", 1}, {"/tides/crashes", 2}}) {
        auto copy = m_host_state;
        const auto request = make_request("GET", target, "");
        reduce(copy, {m_now, 0, request.m_inbound});
        const auto found = copy.m_ingress.m_requests.find(request.m_inbound.m_exchange);
        if (found == copy.m_ingress.m_requests.end()) {
            continue;
        }
        for (int run = 0; run < runs; ++run) {
            quarantine::add_crashed_run(m_host_state.m_gate.m_quarantine,
                                        found->second.m_fingerprint,
                                        fmt::format("host-{}/tides/{}", run + 2, run), m_now);
        }
    }
}

explain_fixture::sample_request explain_fixture::make_request(std::string_view method,
                                                              std::string_view target,
                                                              std::string_view key)
{
    request_head head{std::string{method}, std::string{target}, {{"Host", "example"}}};
    explanation_query query{std::string{method}, "example", std::string{target}, {}, {}};
    if (!key.empty()) {
        head.m_fields.push_back({"X-Api-Key", std::string{key}});
        query.m_credential = ingress::key_digest{sha256_hex(key)};
    }
    return {{++m_last_exchange, listener_kind::caller, std::move(head), 0, 0}, std::move(query)};
}

explain_fixture::sample_request explain_fixture::make_request()
{
    const std::vector<std::string> targets{
        "/tides/7", "/permits", "/shared?a=b",    "/shared",   "/partial",
        "/dead",    "/none",    "/tides/crashes", "/permits/", "/tides/suspected"};
    const std::vector<std::string> keys{"parish-key", "parish-key", "abbey-key",
                                        "guild-key",  "wrong-key",  ""};
    const std::vector<std::string> methods{"GET", "POST", "GET", "bad method"};
    const auto& method = methods[pick(20) == 0 ? 3 : pick(3)];
    auto request = make_request(method, targets[pick(static_cast<std::uint32_t>(targets.size()))],
                                keys[pick(static_cast<std::uint32_t>(keys.size()))]);
    if (pick(3) == 0) {
        request.m_query.m_timeout_ms = 1 + pick(20'000);
        request.m_inbound.m_head.m_fields.push_back(
            {"X-Request-Timeout-Ms", std::to_string(*request.m_query.m_timeout_ms)});
    }
    return request;
}

} // namespace chivevane::test
