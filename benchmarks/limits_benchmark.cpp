#include "libpolicy/limits/limits.h"
#include "libpolicy/limits/roster.h"
#include "libpolicy/limits/share_leases.h"
#include "libwire/datagram.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <malloc.h>

using namespace chivevane;

namespace {

constexpr instant begin{48h};
constexpr rate_limit limit{100, 100};

std::size_t heap_in_use()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// The limits reducer of one host in a roster of `hosts` members, which grant each other share
/// leases.
struct benchmark_host {
    explicit benchmark_host(std::size_t hosts)
    {
        m_settings.m_self = {"host-0", 1};
        roster_record roster;
        for (std::size_t i = 0; i < hosts; ++i) {
            const host_identity peer{fmt::format("host-{}", i), 1};
            auto& known = m_members.m_members[peer.m_name];
            known.m_record.m_identity = peer;
            limits::add_entry(roster, peer);
        }
        limits::distribute_free_units(roster);
        m_roster_text = limits::encode_roster(roster);
        auto context = make_context();
        limits::start(m_state, context);
        answer_store(context);
    }

    reducer_context make_context()
    {
        m_effects.clear();
        return {m_now, 0, m_settings, m_random, m_last_id, m_effects};
    }

    void answer_store(reducer_context& context)
    {
        const store_entry entry{std::string{limits::roster_key}, m_roster_text, 1};
        limits::on_store_response(m_state, context, m_last_id, store_entries{1, {entry}});
    }

    /// Runs one lease round: requests leases from all members and answers one request of each
    /// member. Returns the number of bytes sent.
    std::size_t run_round()
    {
        m_now += 300ms;
        auto context = make_context();
        limits::on_timer(m_state, context, m_members);
        for (const auto& [name, peer] : m_members.m_members) {
            const share_lease_request request{++m_requests, {1, 2, 3, 4}, 1};
            limits::on_share_lease_request(m_state, context, m_members, peer.m_record.m_identity,
                                           request);
        }
        std::size_t bytes = 0;
        for (const auto& item : m_effects) {
            if (const auto* const packet = std::get_if<send_datagram>(&item)) {
                const datagram sent{m_settings.m_self, 1, {}, packet->m_message};
                bytes += value_of(encode_datagram(sent, "secret")).size();
            }
        }
        return bytes;
    }

    host_settings m_settings;
    membership_state m_members;
    limits_state m_state;
    random_engine m_random;
    std::uint64_t m_last_id = 0;
    std::uint64_t m_requests = 0;
    effect_list m_effects;
    instant m_now = begin;
    std::string m_roster_text;
};

std::vector<std::string> organisation_keys(std::size_t count)
{
    std::vector<std::string> keys;
    for (std::size_t i = 0; i < count; ++i) {
        keys.push_back(fmt::format("service-{}/organisation-{}", i % 970, i));
    }
    return keys;
}

/// Takes tokens from the host's local pool for many active organisations.
void take_token(benchmark::State& run)
{
    const auto keys = organisation_keys(static_cast<std::size_t>(run.range(0)));
    const auto before = heap_in_use();
    benchmark_host host{1};
    host.m_now += 1h;
    std::uint64_t request_id = 0;
    for (const auto& key : keys) {
        auto context = host.make_context();
        limits::take_token(host.m_state, context, host.m_members, key, limit, ++request_id);
    }
    run.counters["bytes_per_organisation"] =
        static_cast<double>(heap_in_use() - before) / static_cast<double>(keys.size());
    std::size_t next = 0;
    for ([[maybe_unused]] auto _ : run) {
        host.m_now += 1us;
        auto context = host.make_context();
        benchmark::DoNotOptimize(limits::take_token(host.m_state, context, host.m_members,
                                                    keys[next], limit, ++request_id));
        next = next + 1 == keys.size() ? 0 : next + 1;
    }
    host.m_now += 1h; // All buckets are idle and refilled.
    auto context = host.make_context();
    limits::on_timer(host.m_state, context, host.m_members);
    run.counters["bytes_per_idle_organisation"] =
        (static_cast<double>(heap_in_use()) - static_cast<double>(before)) /
        static_cast<double>(keys.size());
}
BENCHMARK(take_token)->Arg(1000)->Arg(10000)->Arg(89000);

/// Measures time, messages and bytes of one lease round of one host for a number of hosts.
void lease_round(benchmark::State& run)
{
    benchmark_host host{static_cast<std::size_t>(run.range(0))};
    std::size_t bytes = 0;
    std::size_t messages = 0;
    for ([[maybe_unused]] auto _ : run) {
        bytes += host.run_round();
        messages += host.m_effects.size();
    }
    const auto rounds = static_cast<double>(run.iterations());
    run.counters["sent_per_s"] = static_cast<double>(messages) / rounds / 0.3;
    run.counters["bytes_per_s"] = static_cast<double>(bytes) / rounds / 0.3;
}
BENCHMARK(lease_round)->Arg(10)->Arg(30)->Arg(100)->Arg(300);

/// Measures a token loan that one borrower requests, receives and reports as closed.
void loan(benchmark::State& run)
{
    benchmark_host host{1};
    host.m_now += 1h;
    const host_identity borrower{"host-0", 7};
    std::uint64_t id = 0;
    for ([[maybe_unused]] auto _ : run) {
        host.m_now += 10ms;
        ++id;
        auto context = host.make_context();
        limits::on_loan_request(host.m_state, context, host.m_members, borrower,
                                {id, "permits/parish", 1, 0, limit.m_rate, limit.m_burst});
        limits::on_loan_report(host.m_state, context, borrower, {{{id, 1, 0, loan_phase::closed}}});
    }
}
BENCHMARK(loan);

} // namespace
