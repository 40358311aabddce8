#include "libpolicy/configuration/configuration.h"
#include "libpolicy/health/health.h"
#include "libpolicy/routing/routing.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <memory>
#include <set>

using namespace chivevane;

BOOST_AUTO_TEST_SUITE(health_floor)

namespace {

constexpr std::size_t upstream_count = 6;

/// One host that evaluates and chooses upstreams by the evidence and membership it is given.
struct tested_host {
    explicit tested_host(std::uint64_t seed) : m_random{seed}
    {
        m_settings.m_self = {"decider", 1};
        m_settings.m_datacentre = "dc-0";
        document new_document;
        new_document.m_services.push_back({"tides", 0.1 * static_cast<double>(m_random(11))});
        new_document.m_routes.push_back({"notes", "", "/", {}, "tides"});
        m_floor = new_document.m_services[0].m_floor;
        put_in_force(new_document);
        for (std::size_t index = 0; index < upstream_count; ++index) {
            const auto name = fmt::format("u-{}", index);
            host_record record{{name, 1}, fmt::format("dc-{}", index % 3), {name, 1, 2, 3, 4}};
            record.m_upstreams.push_back({"e", "tides", 1 + m_random(8), 1 + m_random(4),
                                          m_random(3), warm_up_state::warm,
                                          upstream_phase::serving});
            m_members.m_members[name] = {record, member_status::alive, m_now};
        }
    }

    void put_in_force(const document& new_document)
    {
        m_document = new_document;
        m_configuration.m_documents["d"] = {{}, std::make_shared<const document>(new_document)};
    }

    /// Applies one random event: a report of any content that may be lost, duplicated or late, a
    /// host that dies or returns, a drain, a data centre taken out of use, or failures on a path.
    void apply_random_event()
    {
        const auto index = m_random(upstream_count);
        auto& peer = m_members.m_members.at(fmt::format("u-{}", index));
        switch (m_random(8)) {
        case 0:
            peer.m_status = m_random(3) == 0 ? member_status::dead : member_status::alive;
            break;
        case 1:
            peer.m_record.m_upstreams[0].m_phase =
                m_random(4) == 0 ? upstream_phase::draining : upstream_phase::serving;
            break;
        case 2:
            m_document.m_datacentres_out.clear();
            if (m_random(3) == 0) {
                m_document.m_datacentres_out.push_back(fmt::format("dc-{}", m_random(3)));
            }
            put_in_force(m_document);
            break;
        case 3:
            for (std::uint32_t failure = 0; failure < m_random(6); ++failure) {
                record_observation(index, observed_result::unreachable);
            }
            break;
        default:
            report(index, m_random(100) < 20 * index);
            break;
        }
    }

    void record_observation(std::size_t index, observed_result result)
    {
        auto context = make_context();
        health::record_observation(
            m_health, context,
            {{fmt::format("u-{}", index), "e"}, "tides", "notes", observer::ingress, result});
    }

    void report(std::size_t index, bool is_failing)
    {
        auto& own = m_counters[index];
        (is_failing ? own.m_failures : own.m_latencies[m_random(latency_bucket_count)]) +=
            static_cast<std::uint16_t>(m_random(60));
        if (m_random(4) == 0) {
            return; // The report is lost.
        }
        const auto window = m_window - std::min<std::uint64_t>(m_window - 1, m_random(3));
        auto context = make_context();
        health::on_report(m_health, context, {fmt::format("u-{}", index), 1},
                          {window, {{{"", "e"}, "tides", "notes", 1, own}}});
    }

    void tick()
    {
        m_now += 250ms;
        ++m_window;
        auto context = make_context();
        health::on_timer(m_health, context, m_members, m_configuration);
    }

    /// Whether repeated choices reach as many slots as the capacity floor demands.
    bool floor_holds()
    {
        double wanted = 0;
        for (const auto& [name, peer] : m_members.m_members) {
            const auto& summary = peer.m_record.m_upstreams[0];
            if (peer.m_status == member_status::alive &&
                summary.m_phase == upstream_phase::serving &&
                !configuration::is_datacentre_out(m_configuration, "tides",
                                                  peer.m_record.m_datacentre)) {
                wanted += summary.m_slots * m_floor;
            }
        }
        double in_use = 0;
        std::set<std::string> chosen;
        auto context = make_context();
        for (int draw = 0; draw < 5000 && in_use < wanted - 1e-6; ++draw) {
            const auto location =
                routing::choose_upstream(context, m_members, m_health, m_configuration, {"tides"});
            if (!location) {
                return false;
            }
            if (chosen.insert(location->m_upstream.m_host).second) {
                in_use += m_members.m_members.at(location->m_upstream.m_host)
                              .m_record.m_upstreams[0]
                              .m_slots;
            }
        }
        return in_use >= wanted - 1e-6;
    }

    reducer_context make_context()
    {
        m_effects.clear();
        return {m_now, 0, m_settings, m_random, m_last_id, m_effects};
    }

    std::size_t count_ejected() const
    {
        std::size_t ejected = 0;
        for (const auto& [upstream, record] : m_health.m_upstreams) {
            ejected += record.m_ejection.m_status == health::health_status::ejected ? 1 : 0;
        }
        return ejected;
    }

    host_settings m_settings;
    random_engine m_random;
    std::uint64_t m_last_id = 0;
    effect_list m_effects;
    document m_document;
    double m_floor = 0;
    configuration_state m_configuration;
    membership_state m_members;
    health_state m_health;
    std::array<evidence_counters, upstream_count> m_counters{};
    std::uint64_t m_window = 1;
    instant m_now{1h};
};

} // namespace

BOOST_AUTO_TEST_CASE(no_host_takes_the_capacity_in_use_below_the_floor)
{
    std::size_t ejected = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        tested_host host{seed};
        for (int step = 0; step < 60; ++step) {
            for (int events = 0; events < 6; ++events) {
                host.apply_random_event();
                BOOST_REQUIRE_MESSAGE(host.floor_holds(), "seed " << seed << ", step " << step);
            }
            host.tick();
            BOOST_REQUIRE_MESSAGE(host.floor_holds(), "seed " << seed << ", step " << step);
            ejected += host.count_ejected();
        }
    }
    BOOST_TEST(ejected > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
