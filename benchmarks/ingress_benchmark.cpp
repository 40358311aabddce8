#include "libbase/digest.h"
#include "libpolicy/configuration/document_record.h"
#include "libpolicy/reduce.h"
#include "libwire/attempt_metadata.h"

#include <benchmark/benchmark.h>

namespace {

using namespace chivevane;

constexpr std::string_view document_text = R"(document: tides
organisations: []
services: [{name: tides, floor: 0.5}]
routes: [{name: notes, path_prefix: /, service: tides, open_to_all: true, timeout_ms: 600000}]
)";

/// A host with `in_flight` caller requests in progress to another host.
struct busy_ingress {
    explicit busy_ingress(std::int64_t in_flight)
    {
        host_settings settings;
        settings.m_self = {"marsh-1", 1};
        settings.m_address = {"127.0.1.1", 1, 2, 3, 4};
        settings.m_shared_secret = "secret";
        m_host_state = std::move(start_host(settings, m_now, 0).m_state);
        const stored_document stored{"tides", 1, "edit", std::string{document_text}};
        const store_entry entry{"/chivevane/documents/tides", encode_document_record(stored), 1};
        feed(store_response{1, store_purpose::document_read, store_entries{1, {entry}}});
        host_record record{{"marsh-2", 1}, "marsh", {"127.0.1.2", 1, 2, 3, 4}};
        record.m_upstreams.push_back({"tides-1", "tides", 4, 4, 0, warm_up_state::warm});
        feed(datagram_received{record.m_identity, 1, {}, record});
        for (std::int64_t each = 0; each < in_flight; ++each) {
            send();
        }
    }

    effect_list feed(event_body body) { return reduce(m_host_state, {m_now, 0, std::move(body)}); }

    start_transfer send()
    {
        const auto effects = feed(
            inbound_request{++m_exchange, listener_kind::caller, {"GET", "/", {{"Host", "a"}}}});
        for (const auto& item : effects) {
            if (const auto* const transfer = std::get_if<start_transfer>(&item)) {
                return *transfer;
            }
        }
        std::abort();
    }

    host_state m_host_state;
    instant m_now{1h};
    exchange_id m_exchange = 0;
};

/// Measures one request from arrival to completion while others are in progress.
void run_request(benchmark::State& state)
{
    busy_ingress ingress{state.range(0)};
    for ([[maybe_unused]] auto _ : state) { // NOLINT(clang-analyzer-deadcode.DeadStores)
        const auto transfer = ingress.send();
        const auto attempt = find_field(transfer.m_head.m_fields, attempt_field);
        ingress.feed(transfer_head{transfer.m_transfer,
                                   {200,
                                    {{std::string{attempt_field}, std::string{*attempt}},
                                     {std::string{execution_status_field}, "run"}}}});
        ingress.feed(transfer_ended{transfer.m_transfer});
    }
}
BENCHMARK(run_request)->Arg(0)->Arg(1'000)->Arg(20'000);

/// Measures a timer event when no timeout is due.
void run_timer(benchmark::State& state)
{
    busy_ingress ingress{state.range(0)};
    for ([[maybe_unused]] auto _ : state) { // NOLINT(clang-analyzer-deadcode.DeadStores)
        ingress.feed(timer_fired{});
        benchmark::DoNotOptimize(next_wakeup(ingress.m_host_state));
    }
}
BENCHMARK(run_timer)->Arg(0)->Arg(1'000)->Arg(20'000);

} // namespace
