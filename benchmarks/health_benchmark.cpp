#include "libpolicy/health/health.h"
#include "libpolicy/health/outlier_detection.h"
#include "libpolicy/routing/routing.h"
#include "libwire/datagram.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <memory>

using namespace chivevane;

namespace {

constexpr std::size_t endpoints_of_service = 10;
constexpr std::size_t routes = 2;

/// The health state of one host in a fleet. Ten hosts each have one endpoint of the same service.
/// The reports cover two routes of each service.
struct fleet {
    explicit fleet(std::size_t size)
    {
        m_settings.m_self = {"host-0", 1};
        m_settings.m_datacentre = "dc-0";
        document sample_document;
        for (std::size_t index = 0; index < size; ++index) {
            const auto name = fmt::format("host-{}", index);
            const auto service = fmt::format("service-{}", index / endpoints_of_service);
            host_record record{{name, 1}, fmt::format("dc-{}", index % 3), {name, 1, 2, 3, 4}};
            record.m_upstreams.push_back(
                {"e", service, 4, 4, 0, warm_up_state::warm, upstream_phase::serving});
            m_members.m_members[name] = {record, member_status::alive, m_now};
            if (index % endpoints_of_service == 0) {
                sample_document.m_services.push_back({service, 0.5});
                sample_document.m_routes.push_back({"notes", "", "/", {}, service});
            }
        }
        m_configuration.m_documents["d"] = {{}, std::make_shared<const document>(sample_document)};
    }

    /// Returns the report of every host on its own upstream after another half second of traffic.
    std::vector<health_report> next_reports()
    {
        ++m_window;
        std::vector<health_report> reports;
        for (std::size_t index = 0; index < m_members.m_members.size(); ++index) {
            health_report report{m_window, {}};
            for (std::size_t route = 0; route < routes; ++route) {
                evidence_counters counters;
                for (std::size_t bucket = 8; bucket < 14; ++bucket) {
                    counters.m_latencies[bucket] = static_cast<std::uint16_t>(m_window * 5);
                }
                report.m_evidence.push_back(
                    {{"", "e"},
                     fmt::format("service-{}", index / endpoints_of_service),
                     fmt::format("route-{}", route),
                     1,
                     counters});
            }
            reports.push_back(std::move(report));
        }
        return reports;
    }

    void receive(const std::vector<health_report>& reports)
    {
        auto context = make_context();
        for (std::size_t index = 1; index < reports.size(); ++index) {
            health::on_report(m_health, context, {fmt::format("host-{}", index), 1},
                              reports[index]);
        }
    }

    void evaluate()
    {
        m_now += health::evaluation_interval;
        auto context = make_context();
        health::on_timer(m_health, context, m_members, m_configuration);
    }

    reducer_context make_context()
    {
        m_effects.clear();
        return {m_now, 0, m_settings, m_random, m_last_id, m_effects};
    }

    host_settings m_settings;
    random_engine m_random;
    std::uint64_t m_last_id = 0;
    effect_list m_effects;
    configuration_state m_configuration;
    membership_state m_members;
    health_state m_health;
    std::uint64_t m_window = 0;
    instant m_now{1h};
};

/// Measures the processing of one report of every member.
void reports_of_all_members(benchmark::State& state)
{
    fleet hosts{static_cast<std::size_t>(state.range(0))};
    while (state.KeepRunning()) {
        state.PauseTiming();
        const auto reports = hosts.next_reports();
        state.ResumeTiming();
        hosts.receive(reports);
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(reports_of_all_members)->Arg(10)->Arg(30)->Arg(100)->Arg(300)->Complexity(benchmark::oN);

/// Measures one outlier detection pass over all upstreams, which runs four times a second.
void evaluation_of_all_upstreams(benchmark::State& state)
{
    fleet hosts{static_cast<std::size_t>(state.range(0))};
    while (state.KeepRunning()) {
        state.PauseTiming();
        hosts.receive(hosts.next_reports());
        state.ResumeTiming();
        hosts.evaluate();
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(evaluation_of_all_upstreams)
    ->Arg(10)
    ->Arg(30)
    ->Arg(100)
    ->Arg(300)
    ->Complexity(benchmark::oN);

/// Measures the selection of an upstream for one request.
void choice_of_an_upstream(benchmark::State& state)
{
    fleet hosts{static_cast<std::size_t>(state.range(0))};
    hosts.receive(hosts.next_reports());
    hosts.evaluate();
    while (state.KeepRunning()) {
        auto context = hosts.make_context();
        benchmark::DoNotOptimize(routing::choose_upstream(context, hosts.m_members, hosts.m_health,
                                                          hosts.m_configuration, {"service-0"}));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(choice_of_an_upstream)->Arg(10)->Arg(30)->Arg(100)->Arg(300)->Complexity(benchmark::oN);

/// Counts the bytes that one host sends per second: two reports to every other host, including UDP
/// and IP headers.
void bytes_of_reports(benchmark::State& state)
{
    constexpr std::size_t headers = 28;
    fleet hosts{static_cast<std::size_t>(state.range(0))};
    const datagram packet{{"host-0", 1}, 1, {1, 1}, hosts.next_reports().front()};
    std::size_t size = 0;
    while (state.KeepRunning()) {
        size = value_of(encode_datagram(packet, "secret")).size() + headers;
        benchmark::DoNotOptimize(size);
    }
    state.counters["bytes_of_a_report"] = static_cast<double>(size);
    state.counters["bytes_per_second"] = static_cast<double>(2 * size * (state.range(0) - 1));
}
BENCHMARK(bytes_of_reports)->Arg(10)->Arg(34)->Arg(100)->Arg(300);

} // namespace
