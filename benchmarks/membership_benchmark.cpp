#include "libpolicy/reduce.h"
#include "libwire/datagram.h"

#include <benchmark/benchmark.h>
#include <deque>
#include <fmt/format.h>

using namespace chivevane;

namespace {

/// Size of a datagram's IP and UDP headers, in bytes.
constexpr std::size_t header_size = 28;

/// A fleet whose members exchange datagrams without loss or delay in simulated time.
class benchmark_fleet {
public:
    explicit benchmark_fleet(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            host_settings settings;
            settings.m_self = {fmt::format("host-{:04}", index), 1};
            settings.m_datacentre = fmt::format("dc-{}", index % 3);
            settings.m_address.m_ip = fmt::format("{}", index);
            settings.m_random_seed = index + 1;
            settings.m_seeds.push_back({"0"});
            m_identities.push_back(settings.m_self);
            m_hosts.push_back(start_host(settings, m_now, 0).m_state);
        }
    }

    /// Advances the simulated time by `length`.
    void run_for(duration length)
    {
        for (const auto until = m_now + length; m_now < until; m_now += 100ms) {
            for (std::size_t index = 0; index < m_hosts.size(); ++index) {
                feed(index, timer_fired{});
            }
            while (!m_in_flight.empty()) {
                const auto next = std::move(m_in_flight.front());
                m_in_flight.pop_front();
                feed(next.first, next.second);
            }
        }
    }

    std::size_t known_members() const { return m_hosts.back().m_membership.m_members.size(); }

    std::uint64_t m_bytes = 0;
    std::uint64_t m_datagrams = 0;
    bool m_counts_membership_traffic = false;

private:
    void feed(std::size_t index, const event_body& body)
    {
        for (const auto& item : reduce(m_hosts[index], {m_now, 0, body})) {
            if (const auto* packet = std::get_if<send_datagram>(&item)) {
                ++m_datagrams;
                count_bytes(index, *packet);
                m_in_flight.emplace_back(
                    std::stoul(packet->m_to.m_ip),
                    datagram_received{m_identities[index], 0, {}, packet->m_message});
            }
        }
    }

    void count_bytes(std::size_t index, const send_datagram& packet)
    {
        if (m_counts_membership_traffic) {
            const auto bytes =
                encode_datagram({m_identities[index], 0, {}, packet.m_message}, "secret");
            m_bytes += value_of(bytes).size() + header_size;
        }
    }

    std::vector<host_state> m_hosts;
    std::vector<host_identity> m_identities;
    std::deque<std::pair<std::size_t, event_body>> m_in_flight;
    instant m_now{1h};
};

/// Measures one simulated second of a whole fleet. `host_us` is the processor time of one host in
/// that second, in microseconds, without encoding and decoding.
void gossip_second(benchmark::State& state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    benchmark_fleet fleet{count};
    fleet.run_for(20s);
    if (fleet.known_members() != count) {
        state.SkipWithError("The members do not know each other.");
        return;
    }
    while (state.KeepRunning()) {
        fleet.run_for(1s);
    }
    state.counters["host_us"] =
        benchmark::Counter(1e-6 * static_cast<double>(state.iterations() * count),
                           benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
    fleet.m_counts_membership_traffic = true;
    fleet.m_datagrams = 0;
    fleet.run_for(10s);
    const auto host_seconds = static_cast<double>(10 * count);
    state.counters["sent_bytes_per_s"] = static_cast<double>(fleet.m_bytes) / host_seconds;
    state.counters["sent_datagrams_per_s"] = static_cast<double>(fleet.m_datagrams) / host_seconds;
}
BENCHMARK(gossip_second)->Arg(10)->Arg(30)->Arg(100)->Arg(300)->Unit(benchmark::kMillisecond);

/// Measures encoding, signing, verifying and decoding of one gossip message of
/// `state.range(0)` members.
void gossip_codec(benchmark::State& state)
{
    gossip view{{"10.0.0.1", 7001, 7002, 7003, 7004}, {}};
    view.m_entries.resize(static_cast<std::size_t>(state.range(0)));
    const datagram packet{{"host-0001", 1}, 1, {}, view};
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(
            decode_datagram(value_of(encode_datagram(packet, "secret")), "secret"));
    }
}
BENCHMARK(gossip_codec)->Arg(10)->Arg(34)->Arg(54)->Unit(benchmark::kMicrosecond);

} // namespace
