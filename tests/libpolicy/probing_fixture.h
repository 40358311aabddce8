#pragma once

#include "libpolicy/gate/gate_answers.h"
#include "libpolicy/host_fixture.h"
#include "libwire/attempt_metadata.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

namespace chivevane::test {

/// A host that asks gates in turn.
struct probing_fixture : host_fixture {
    probing_fixture()
    {
        m_host_state.m_settings.m_placement = placement_mode::probing;
        load_sample_document();
    }
};

/// An ingress, and three other hosts with an upstream each.
struct probing_ingress_fixture : probing_fixture {
    probing_ingress_fixture()
    {
        for (const std::string name : {"marsh-2", "marsh-3", "marsh-4"}) {
            add_host(name, "tides");
        }
    }

    /// Adds another host with an upstream of the service.
    void add_host(const std::string& name, const std::string& service)
    {
        host_record record{{name, 1}, "marsh", {name, 7001, 7002, 7003, 7004}};
        upstream_summary upstream;
        upstream.m_endpoint = service + "-" + name;
        upstream.m_service = service;
        upstream.m_slots = 4;
        upstream.m_phase = upstream_phase::serving;
        record.m_upstreams.push_back(upstream);
        record.m_upstream_count = 1;
        record.m_version = 1;
        feed(datagram_received{record.m_identity, 1, {}, record});
    }

    /// Sends a caller's idempotent request and returns its first attempt.
    start_transfer send()
    {
        const auto started = effects_of_type<start_transfer>(feed(
            inbound_request{1, listener_kind::caller, {"GET", "/tides/7", {{"Host", "a"}}}, 0, 0}));
        BOOST_TEST_REQUIRE(started.size() == 1U);
        return started[0];
    }

    /// Sends a caller's request that must not run twice and returns its first attempt.
    start_transfer send_once_only()
    {
        const request_head head{
            "POST", "/permits", {{"Host", "a"}, {"Authorization", "Bearer parish-key"}}};
        const auto started = effects_of_type<start_transfer>(
            feed(inbound_request{1, listener_kind::caller, head, 0, 0}));
        BOOST_TEST_REQUIRE(started.size() == 1U);
        return started[0];
    }

    static std::string attempt_of(const start_transfer& transfer)
    {
        return std::string{*find_field(transfer.m_head.m_fields, attempt_field)};
    }

    effect_list report_stalled(const start_transfer& transfer)
    {
        const auto id = value_of(parse_attempt_metadata(transfer.m_head, 0, "secret")).m_attempt;
        return feed(datagram_received{
            {transfer.m_ip, 1}, 2, {}, cancel_attempt_response{id, 1, execution_status::stalled}});
    }

    effect_list answer(const start_transfer& transfer, std::uint16_t status,
                       std::vector<http_field> fields = {})
    {
        fields.push_back({std::string{attempt_field}, attempt_of(transfer)});
        return feed(transfer_head{transfer.m_transfer, {status, fields}});
    }

    /// Lets the gate ask for the attempt again, with the reading of its clock.
    effect_list require_clock(const start_transfer& transfer)
    {
        return answer(
            transfer, 503,
            {{std::string{reason_field}, std::string{gate::clock_required}},
             {std::string{execution_status_field}, "not-run"},
             {std::string{gate_clock_field}, std::to_string(gate::clock_reading(m_now))}});
    }

    /// Lets the gate refuse the attempt, not run.
    effect_list refuse_as_busy(const start_transfer& transfer, std::vector<http_field> more = {})
    {
        more.push_back({std::string{reason_field}, "busy"});
        more.push_back({std::string{execution_status_field}, "not-run"});
        return answer(transfer, 503, std::move(more));
    }
};

} // namespace chivevane::test
