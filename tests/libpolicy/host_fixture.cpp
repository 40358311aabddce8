#include "libpolicy/host_fixture.h"

#include "libbase/digest.h"
#include "libpolicy/configuration/document_record.h"
#include "libpolicy/limits/roster_record.h"

#include <fmt/format.h>

namespace chivevane::test {

namespace {

constexpr std::int64_t wall_at_start_ms = 1'700'000'000'000;

} // namespace

std::string sample_document()
{
    return fmt::format(R"(document: blackmorass
organisations:
  - name: parish
    rate: 10
    burst: 10
    keys:
      - {{name: first, digest: {}}}
services:
  - {{name: tides, floor: 0.5}}
  - {{name: permits, floor: 0.5}}
routes:
  - {{name: notes, path_prefix: /tides, service: tides, open_to_all: true}}
  - {{name: permits, path_prefix: /permits, service: permits, timeout_ms: 2000}}
)",
                       sha256_hex("parish-key"));
}

host_fixture::host_fixture()
{
    host_settings settings;
    settings.m_self = {"marsh-1", 1};
    settings.m_datacentre = "marsh";
    settings.m_address = {"127.0.1.1", 7001, 7002, 7003, 7004};
    settings.m_shared_secret = "secret";
    const auto start = m_now;
    m_now -= 1min; // Long enough to fill the token bucket of every organisation.
    auto started = start_host(settings, m_now, wall_at_start_ms);
    m_host_state = std::move(started.m_state);
    m_start_effects = std::move(started.m_effects);
    assign_whole_share();
    while (m_now < start) {
        advance(100ms); // The host takes a longer step for a pause of its process.
    }
}

void host_fixture::assign_whole_share()
{
    const roster_record roster{0, {{m_host_state.m_settings.m_self, total_units}}};
    for (const auto& call : effects_of_type<call_store>(m_start_effects)) {
        if (call.m_purpose == store_purpose::roster) {
            const store_entry entry{"/chivevane/roster", limits::encode_roster(roster), 1};
            feed(store_response{call.m_operation_id, call.m_purpose, store_entries{1, {entry}}});
        }
    }
}

effect_list host_fixture::feed(event_body body)
{
    const auto wall_ms = wall_at_start_ms + to_milliseconds(m_now.time_since_epoch());
    auto effects = reduce(m_host_state, {m_now, wall_ms, std::move(body)});
    for (const auto& watch : effects_of_type<call_store>(effects)) {
        if (watch.m_purpose == store_purpose::document_watch) {
            // The store reports no changes, which confirms the documents in force.
            const store_response answer{watch.m_operation_id, watch.m_purpose,
                                        store_entries{1, {}}};
            reduce(m_host_state, {m_now, wall_ms, answer});
        }
    }
    return effects;
}

effect_list host_fixture::advance(duration step)
{
    m_now += step;
    return feed(timer_fired{});
}

void host_fixture::load_sample_document()
{
    load_document("blackmorass", sample_document());
}

void host_fixture::load_document(std::string_view name, std::string_view text)
{
    const stored_document stored{std::string{name}, 1, "edit-1", std::string{text}};
    const store_entry entry{fmt::format("/chivevane/documents/{}", name),
                            encode_document_record(stored), 1};
    feed(store_response{1, store_purpose::document_read, store_entries{1, {entry}}});
}

void host_fixture::announce(std::string_view endpoint, std::string_view service)
{
    upstream_announcement announcement;
    announcement.m_endpoint = endpoint;
    announcement.m_service = service;
    announcement.m_ip = "127.0.1.1";
    announcement.m_port = 9000;
    announcement.m_slots = 4;
    announcement.m_warm_up_state = warm_up_state::warm;
    feed(std::move(announcement));
}

} // namespace chivevane::test
