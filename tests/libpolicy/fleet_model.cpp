#include "libpolicy/fleet_model.h"

#include <cmath>
#include <fmt/format.h>

namespace chivevane::test {

struct fleet_model::request {
    attempt_id m_id;
    std::size_t m_ingress = 0;
    instant m_arrived_at;
    instant m_deadline;
    routing::idempotency m_idempotency = routing::idempotency::idempotent;
    std::vector<upstream_id> m_tried;
};

bool fleet_model::runs_later::operator()(const scheduled& left, const scheduled& right) const
{
    return std::pair{left.m_at, left.m_sequence} > std::pair{right.m_at, right.m_sequence};
}

fleet_model::fleet_model(const fleet_shape& shape, std::uint64_t seed)
    : m_shape{shape}, m_hosts(shape.m_hosts), m_upstreams(shape.m_upstreams), m_random{seed}
{
    m_document.m_name = "model";
    m_document.m_services.push_back({"tides", shape.m_floor});
    m_document.m_routes.push_back({"notes", "", "/", {}, "tides"});
    apply_rules();
    m_tally.m_started.resize(shape.m_upstreams);
    for (std::size_t index = 0; index < shape.m_hosts; ++index) {
        auto& host = m_hosts[index];
        const auto name = fmt::format("host-{}", index);
        host.m_settings.m_self = {name, 1};
        host.m_settings.m_datacentre = fmt::format("dc-{}", index % shape.m_datacentres);
        host.m_settings.m_address = {name, 1, 2, 3, 4};
        host.m_random.seed(seed * 1000 + index);
        host_record record{host.m_settings.m_self, host.m_settings.m_datacentre,
                           host.m_settings.m_address};
        m_members.m_members[name] = {record, member_status::alive, m_now};
        if (index < shape.m_upstreams) {
            m_upstreams[index].m_id = {name, fmt::format("tides-{}", index)};
            admission::set_upstream(host.m_admission, m_upstreams[index].m_id.m_endpoint, 4,
                                    warm_up_state::warm, admission::announced_run::new_run, m_now);
            schedule(m_now + from_seconds(uniform() / 2), [this, index] { announce(index); });
            announce(index);
        }
        schedule(m_now + from_seconds(uniform() / 4), [this, index] { tick(index); });
    }
    schedule(m_now, [this] { generate_request(); });
}

void fleet_model::apply_rules()
{
    m_configuration.m_documents["model"] = {{}, std::make_shared<const document>(m_document)};
}

void fleet_model::run_for(duration length)
{
    const auto end = m_now + length;
    while (!m_queue.empty() && m_queue.top().m_at <= end) {
        const auto next = m_queue.top();
        m_queue.pop();
        m_now = next.m_at;
        next.m_action();
    }
    m_now = end;
}

duration fleet_model::detection_time(std::size_t upstream, instant since) const
{
    const auto found = m_tally.m_ejected.find(m_upstreams[upstream].m_id.m_endpoint);
    if (found == m_tally.m_ejected.end()) {
        return none;
    }
    std::set<std::size_t> hosts;
    for (const auto& [when, host] : found->second) {
        if (when >= since && hosts.insert(host).second && hosts.size() * 2 >= m_hosts.size()) {
            return when - since;
        }
    }
    return none;
}

std::size_t fleet_model::count_with_status(std::size_t upstream, health::health_status status) const
{
    std::size_t hosts = 0;
    for (const auto& host : m_hosts) {
        const auto assessment =
            health::assessment_before_floor(host.m_health, m_upstreams[upstream].m_id, m_now);
        hosts += assessment.m_status == status ? 1 : 0;
    }
    return hosts;
}

void fleet_model::schedule(instant when, std::function<void()> action)
{
    m_queue.push({when, ++m_sequence, std::move(action)});
}

effect_list fleet_model::run_with_context(model_host& host,
                                          const std::function<void(reducer_context&)>& action)
{
    effect_list effects;
    reducer_context context{m_now, 0, host.m_settings, host.m_random, host.m_last_id, effects};
    action(context);
    return effects;
}

void fleet_model::deliver(std::size_t sender, const effect_list& effects)
{
    for (const auto& item : effects) {
        if (const auto* recorded = std::get_if<record_event>(&item)) {
            if (recorded->m_fields.at(3).m_value == "ejected" &&
                m_shape.m_policy == model_policy::pooled) {
                ++m_tally.m_ejections;
                m_tally.m_ejected[recorded->m_fields.at(1).m_value].emplace_back(m_now, sender);
            }
        }
        const auto* packet = std::get_if<send_datagram>(&item);
        if (packet == nullptr || uniform() < m_shape.m_report_loss_share) {
            continue;
        }
        const auto receiver = std::stoul(packet->m_to.m_ip.substr(5));
        const auto report = std::get<health_report>(packet->m_message);
        schedule(m_now + from_seconds(0.0005 + 0.005 * uniform()),
                 [this, sender, receiver, report] {
                     auto& host = m_hosts[receiver];
                     run_with_context(host, [&](reducer_context& context) {
                         health::on_report(host.m_health, context,
                                           m_hosts[sender].m_settings.m_self, report);
                     });
                 });
    }
}

void fleet_model::tick(std::size_t index)
{
    auto& host = m_hosts[index];
    deliver(index, run_with_context(host, [&](reducer_context& context) {
                health::on_timer(host.m_health, context, m_members, m_configuration);
            }));
    schedule(m_now + 250ms, [this, index] { tick(index); });
}

void fleet_model::announce(std::size_t index)
{
    const auto& upstream = m_upstreams[index];
    const auto load = admission::load_of(m_hosts[index].m_admission, upstream.m_id.m_endpoint);
    m_members.m_members[upstream.m_id.m_host].m_record.m_upstreams = {
        {upstream.m_id.m_endpoint, "tides", 4, load.m_concurrency, load.m_queued,
         warm_up_state::warm, upstream_phase::serving}};
    schedule(m_now + 500ms, [this, index] { announce(index); });
}

void fleet_model::generate_request()
{
    auto sent = std::make_shared<request>();
    sent->m_ingress = m_random(static_cast<std::uint32_t>(m_hosts.size()));
    sent->m_id = {m_hosts[sent->m_ingress].m_settings.m_self, ++m_last_request, 1};
    sent->m_arrived_at = m_now;
    sent->m_deadline = m_now + 2s;
    if (uniform() >= m_shape.m_idempotent_share) {
        sent->m_idempotency = routing::idempotency::not_idempotent;
    }
    send_attempt(sent);
    schedule(m_now + from_seconds(-std::log(1 - uniform()) / m_shape.m_requests_per_second),
             [this] { generate_request(); });
}

std::optional<std::size_t> fleet_model::choose(const request& sent)
{
    auto& host = m_hosts[sent.m_ingress];
    if (m_shape.m_policy == model_policy::naive) {
        std::vector<std::size_t> usable;
        for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
            if (host.m_naive_ejected_until[m_upstreams[index].m_id] <= m_now) {
                usable.push_back(index);
            }
        }
        return usable.empty()
                   ? std::nullopt
                   : std::optional{usable[m_random(static_cast<std::uint32_t>(usable.size()))]};
    }
    std::optional<routing::upstream_location> chosen;
    run_with_context(host, [&](reducer_context& context) {
        chosen = routing::choose_upstream(context, m_members, host.m_health, m_configuration,
                                          {"tides", sent.m_idempotency, sent.m_tried});
    });
    return chosen ? std::optional{std::stoul(chosen->m_upstream.m_host.substr(5))} : std::nullopt;
}

void fleet_model::send_attempt(const std::shared_ptr<request>& sent)
{
    const auto chosen = choose(*sent);
    if (!chosen || sent->m_tried.size() >= 3) {
        ++m_tally.m_refused;
        return;
    }
    const auto& upstream = m_upstreams[*chosen];
    sent->m_tried.push_back(upstream.m_id);
    sent->m_id.m_attempt = static_cast<std::uint32_t>(sent->m_tried.size());
    const queued_attempt offered{sent->m_id, upstream.m_id.m_endpoint, "a", sent->m_deadline};
    m_waiting[sent->m_id] = sent;
    switch (admission::offer(m_hosts[*chosen].m_admission, offered, m_now)) {
    case admission::decision::started:
        start(*chosen, sent->m_id);
        break;
    case admission::decision::queued:
        break;
    case admission::decision::refused:
        m_waiting.erase(sent->m_id);
        send_attempt(sent);
        break;
    }
}

void fleet_model::start(std::size_t index, const attempt_id& attempt)
{
    auto& upstream = m_upstreams[index];
    const auto sent = m_waiting.at(attempt);
    m_waiting.erase(attempt);
    ++upstream.m_active_requests;
    ++m_tally.m_started[index];
    const auto fault = is_faulty(upstream) ? upstream.m_fault : upstream_fault{};
    auto latency = sample_latency() * fault.m_slowdown;
    auto result = observed_result::good;
    if (uniform() < fault.m_stuck_share) {
        result = observed_result::timed_out;
        latency = health::adaptive_timeout(m_hosts[index].m_health, "tides", "notes", 1s);
    }
    else if (uniform() < std::max(fault.m_failure_share, m_shape.m_base_failure_share)) {
        result = observed_result::server_error;
    }
    else if (uniform() < fault.m_corrupted_share) {
        result = observed_result::corrupted;
    }
    const auto elapsed = std::chrono::duration_cast<duration>(latency);
    schedule(m_now + elapsed,
             [this, index, sent, result, elapsed] { finish(index, sent, result, elapsed); });
}

void fleet_model::finish(std::size_t index, const std::shared_ptr<request>& sent,
                         observed_result result, duration latency)
{
    auto& upstream = m_upstreams[index];
    auto& gate = m_hosts[index];
    auto& ingress = m_hosts[sent->m_ingress];
    --upstream.m_active_requests;
    const bool is_corrupted = result == observed_result::corrupted;
    const observation at_gate{upstream.m_id,
                              "tides",
                              "notes",
                              observer::gate,
                              is_corrupted ? observed_result::good : result,
                              latency};
    auto at_ingress = at_gate;
    at_ingress.m_observer = observer::ingress;
    at_ingress.m_result = result;
    run_with_context(gate, [&](reducer_context& context) {
        health::record_observation(gate.m_health, context, at_gate);
    });
    run_with_context(ingress, [&](reducer_context& context) {
        health::record_observation(ingress.m_health, context, at_ingress);
    });
    update_naive_ejection(sent->m_ingress, index, result);
    const auto run = result == observed_result::timed_out      ? admission::run_result::cancelled
                     : result == observed_result::server_error ? admission::run_result::failed
                                                               : admission::run_result::good;
    admission::release(gate.m_admission, upstream.m_id.m_endpoint, run, latency, m_now);
    start_queued_attempts(index);
    if (result == observed_result::good) {
        ++m_tally.m_good;
        m_tally.m_latencies.push_back(m_now - sent->m_arrived_at);
    }
    else {
        ++m_tally.m_bad;
    }
}

void fleet_model::start_queued_attempts(std::size_t index)
{
    auto& gate = m_hosts[index].m_admission;
    for (const auto& expired : admission::take_expired(gate, m_now)) {
        m_waiting.erase(expired.m_attempt);
        ++m_tally.m_refused;
    }
    for (const auto& waiting : admission::take_startable(gate, m_now)) {
        start(index, waiting.m_attempt);
    }
}

void fleet_model::update_naive_ejection(std::size_t host, std::size_t index, observed_result result)
{
    constexpr std::uint32_t failures_to_eject = 5;
    const auto& id = m_upstreams[index].m_id;
    auto& failures = m_hosts[host].m_naive_failures[id];
    failures = result == observed_result::good ? 0 : failures + 1;
    if (m_shape.m_policy == model_policy::naive && failures >= failures_to_eject) {
        failures = 0;
        m_hosts[host].m_naive_ejected_until[id] = m_now + 10s;
        ++m_tally.m_ejections;
        m_tally.m_ejected[id.m_endpoint].emplace_back(m_now, host);
    }
}

bool fleet_model::is_faulty(const model_upstream& upstream) const
{
    if (m_now < upstream.m_faulty_from) {
        return false;
    }
    const auto passed = m_now - upstream.m_faulty_from;
    return upstream.m_flap_period == duration{} || passed / upstream.m_flap_period % 2 == 0;
}

duration fleet_model::sample_latency()
{
    const auto radius = std::sqrt(-2 * std::log(1 - uniform()));
    const auto normal = radius * std::cos(6.283185307179586 * uniform());
    const auto tail = uniform() < 0.01 ? 20.0 : 1.0;
    return from_seconds(to_seconds(m_shape.m_median_latency) * tail *
                        std::exp(m_shape.m_latency_spread * normal));
}

double fleet_model::uniform()
{
    return uniform_fraction(m_random);
}

} // namespace chivevane::test
