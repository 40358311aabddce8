#include "libpolicy/gate/gate.h"

#include "libpolicy/admission/admission.h"
#include "libpolicy/forwarding.h"
#include "libpolicy/health/health.h"
#include "libpolicy/membership/membership.h"
#include "libpolicy/node_state.h"
#include "libpolicy/refusal.h"

#include <algorithm>
#include <fmt/format.h>

namespace chivevane::gate {

namespace {

constexpr duration tombstone_lifetime = 60s; // Longer than any copy stays under way.
constexpr duration connect_timeout = 1s;
constexpr duration stall_timeout = 10s;

void answer_refusal(context& surroundings, exchange_id exchange, const attempt_id& attempt,
                    const refusal& reason)
{
    auto answer = make_refusal(exchange, reason);
    const auto not_run = reason.m_outcome == request_outcome::not_run;
    answer.m_head.m_fields.push_back({std::string{attempt_field}, to_string(attempt)});
    answer.m_head.m_fields.push_back({std::string{fate_field}, not_run ? "not-run" : "run"});
    answer.m_head.m_fields.push_back(
        {std::string{reason_field}, std::string{to_string(reason.m_kind)}});
    emit(surroundings, std::move(answer));
}

void bury(gate_state& state, context& surroundings, const attempt_id& id, attempt_fate fate)
{
    if (const auto found = state.m_attempts.find(id); found != state.m_attempts.end()) {
        state.m_by_exchange.erase(found->second.m_exchange);
        state.m_by_transfer.erase(found->second.m_transfer);
        state.m_attempts.erase(found);
    }
    state.m_tombstones[id] = {fate, surroundings.m_now + tombstone_lifetime};
}

void refuse_attempt(gate_state& state, context& surroundings, const attempt_id& id,
                    refusal_kind kind)
{
    const auto exchange = state.m_attempts.at(id).m_exchange;
    answer_refusal(surroundings, exchange, id, {kind, request_outcome::not_run, 1s});
    bury(state, surroundings, id, attempt_fate::not_run);
}

/// Hands an attempt to its upstream. From here on it may have run.
void hand_over(node_state& node, context& surroundings, gate_attempt& attempt)
{
    const auto& upstream = node.m_gate.m_upstreams.at(attempt.m_link.m_endpoint).m_latest;
    attempt.m_phase = gate_phase::running;
    attempt.m_handed_over_at = surroundings.m_now;
    attempt.m_transfer = next_id(surroundings);
    node.m_gate.m_by_transfer[attempt.m_transfer] = attempt.m_link.m_attempt;
    auto head = attempt.m_head;
    const auto time_left = to_milliseconds(attempt.m_deadline - surroundings.m_now);
    head.m_fields.push_back({"X-Request-Id", to_string(attempt.m_link.m_attempt)});
    head.m_fields.push_back({"X-Request-Timeout-Ms", std::to_string(time_left)});
    emit(surroundings,
         start_transfer{attempt.m_transfer, attempt.m_exchange, upstream.m_ip, upstream.m_port,
                        std::move(head), connection_choice::reuse, connect_timeout, stall_timeout});
}

void start_waiting(node_state& node, context& surroundings)
{
    for (const auto& waiting : admission::take_startable(node.m_admission, surroundings.m_now)) {
        hand_over(node, surroundings, node.m_gate.m_attempts.at(waiting.m_attempt));
    }
}

/// Tells the other hosts what stands behind this gate.
void publish_upstreams(node_state& node)
{
    std::vector<upstream_summary> summaries;
    for (const auto& [endpoint, upstream] : node.m_gate.m_upstreams) {
        const auto load = admission::load_of(node.m_admission, endpoint);
        const auto& latest = upstream.m_latest;
        summaries.push_back({endpoint, latest.m_service, latest.m_slots, load.m_concurrency,
                             load.m_queued, latest.m_warmth, latest.m_phase});
    }
    membership::set_own_upstreams(node.m_membership, std::move(summaries));
}

void observe_run(node_state& node, context& surroundings, const gate_attempt& attempt,
                 observed_result seen, admission::run_result run)
{
    const auto& link = attempt.m_link;
    health::observe(node.m_health, surroundings,
                    {{surroundings.m_settings.m_self.m_name, link.m_endpoint},
                     link.m_service,
                     link.m_route,
                     observer::gate,
                     seen,
                     attempt.m_latency});
    admission::finished(node.m_admission, link.m_endpoint, run, attempt.m_latency,
                        surroundings.m_now);
}

void remove_upstream(node_state& node, context& surroundings, const std::string& endpoint)
{
    for (const auto& waiting : admission::remove_upstream(node.m_admission, endpoint)) {
        refuse_attempt(node.m_gate, surroundings, waiting.m_attempt, refusal_kind::no_upstream);
    }
    node.m_gate.m_upstreams.erase(endpoint);
}

} // namespace

void on_announced(node_state& node, context& surroundings, const upstream_announced& news)
{
    auto& upstream = node.m_gate.m_upstreams[news.m_endpoint];
    const bool is_new =
        upstream.m_latest.m_run != news.m_run || upstream.m_latest.m_endpoint.empty();
    upstream = {news, surroundings.m_now + news.m_time_to_live};
    admission::set_upstream(node.m_admission, news.m_endpoint, news.m_slots, news.m_warmth,
                            is_new ? admission::upstream_news::started_anew
                                   : admission::upstream_news::announced_again,
                            surroundings.m_now);
    publish_upstreams(node);
}

void on_request(node_state& node, context& surroundings, const inbound_request& request)
{
    auto& state = node.m_gate;
    const auto parsed = parse_link_fields(request.m_head, request.m_body_hash,
                                          surroundings.m_settings.m_shared_secret);
    if (is_error(parsed)) {
        emit(surroundings, make_refusal(request.m_exchange, {refusal_kind::malformed_request}));
        return;
    }
    const auto& link = value_of(parsed);
    const auto& id = link.m_attempt;
    if (link.m_gate_incarnation != surroundings.m_settings.m_self.m_incarnation ||
        state.m_attempts.contains(id) || state.m_tombstones.contains(id)) {
        answer_refusal(surroundings, request.m_exchange, id,
                       {refusal_kind::no_upstream, request_outcome::unknown});
        return;
    }
    gate_attempt attempt{request.m_exchange, 0, link, forwardable_request(request.m_head)};
    attempt.m_deadline = surroundings.m_now + link.m_time_left;
    state.m_attempts[id] = attempt;
    state.m_by_exchange[request.m_exchange] = id;
    const auto upstream = state.m_upstreams.find(link.m_endpoint);
    if (upstream == state.m_upstreams.end() || state.m_is_leaving ||
        upstream->second.m_latest.m_phase == upstream_phase::draining) {
        refuse_attempt(state, surroundings, id, refusal_kind::no_upstream);
        return;
    }
    const auto organisation = link.m_document + "/" + link.m_organisation;
    const queued_attempt queued{id, link.m_endpoint, organisation, attempt.m_deadline};
    switch (admission::offer(node.m_admission, queued, surroundings.m_now)) {
    case admission::verdict::start:
        hand_over(node, surroundings, state.m_attempts.at(id));
        break;
    case admission::verdict::queued:
        break;
    case admission::verdict::refused:
        refuse_attempt(state, surroundings, id, refusal_kind::overloaded);
        break;
    }
}

void on_gone(node_state& node, context& surroundings, exchange_id exchange)
{
    auto& state = node.m_gate;
    const auto id = state.m_by_exchange.at(exchange);
    const auto attempt = state.m_attempts.at(id);
    if (attempt.m_phase == gate_phase::queued) {
        admission::withdraw(node.m_admission, attempt.m_link.m_endpoint, id);
        bury(state, surroundings, id, attempt_fate::not_run);
        return;
    }
    emit(surroundings, cancel_transfer{attempt.m_transfer});
    admission::finished(node.m_admission, attempt.m_link.m_endpoint,
                        admission::run_result::cancelled, attempt.m_latency, surroundings.m_now);
    bury(state, surroundings, id, attempt_fate::may_run);
    start_waiting(node, surroundings);
}

void on_transfer_head(node_state& node, context& surroundings, const transfer_head& answer)
{
    auto& state = node.m_gate;
    auto& attempt = state.m_attempts.at(state.m_by_transfer.at(answer.m_transfer));
    attempt.m_phase = gate_phase::relaying;
    attempt.m_latency = surroundings.m_now - attempt.m_handed_over_at;
    auto head = forwardable_response(answer.m_head);
    head.m_fields.push_back({std::string{attempt_field}, to_string(attempt.m_link.m_attempt)});
    head.m_fields.push_back({std::string{fate_field}, "run"});
    emit(surroundings, relay_transfer{answer.m_transfer, attempt.m_exchange, std::move(head)});
    const bool failed = answer.m_head.m_status >= 500;
    observe_run(node, surroundings, attempt,
                failed ? observed_result::server_error : observed_result::good,
                failed ? admission::run_result::failed : admission::run_result::good);
}

void on_transfer_ended(node_state& node, context& surroundings, const transfer_ended& end)
{
    auto& state = node.m_gate;
    const auto id = state.m_by_transfer.at(end.m_transfer);
    const auto attempt = state.m_attempts.at(id);
    if (attempt.m_phase == gate_phase::relaying) {
        if (end.m_end == transfer_end::complete) {
            emit(surroundings, finish_exchange{attempt.m_exchange});
        }
        else {
            emit(surroundings, abort_exchange{attempt.m_exchange});
        }
    }
    else {
        observe_run(node, surroundings, attempt, observed_result::server_error,
                    admission::run_result::failed);
        const bool never_sent = end.m_end == transfer_end::connect_failed;
        const auto outcome = never_sent ? request_outcome::not_run : request_outcome::unknown;
        answer_refusal(surroundings, attempt.m_exchange, id,
                       {refusal_kind::upstream_failed, outcome});
    }
    bury(state, surroundings, id, attempt_fate::may_run);
    start_waiting(node, surroundings);
}

void on_void_request(node_state& node, context& surroundings, const host_identity& sender,
                     const void_request& request)
{
    const auto* const peer = membership::find_member(node.m_membership, sender.m_name);
    if (peer == nullptr) {
        return;
    }
    auto& state = node.m_gate;
    const auto& id = request.m_attempt;
    auto fate = attempt_fate::may_run;
    if (request.m_gate_incarnation != surroundings.m_settings.m_self.m_incarnation) {
        fate = attempt_fate::unknown;
    }
    else if (const auto grave = state.m_tombstones.find(id); grave != state.m_tombstones.end()) {
        fate = grave->second.m_fate;
    }
    else if (const auto found = state.m_attempts.find(id); found == state.m_attempts.end()) {
        fate = attempt_fate::not_run;
        bury(state, surroundings, id, fate);
    }
    else if (found->second.m_phase == gate_phase::queued) {
        fate = attempt_fate::not_run;
        admission::withdraw(node.m_admission, found->second.m_link.m_endpoint, id);
        refuse_attempt(state, surroundings, id, refusal_kind::deadline_exceeded);
    }
    emit(surroundings, send_datagram{peer->m_latest.m_address,
                                     void_response{id, request.m_gate_incarnation, fate}});
}

void on_crash_report(node_state&, context&, const host_identity&, const crash_report&) {}

void on_timer(node_state& node, context& surroundings)
{
    auto& state = node.m_gate;
    for (const auto& expired : admission::take_expired(node.m_admission, surroundings.m_now)) {
        refuse_attempt(state, surroundings, expired.m_attempt, refusal_kind::deadline_exceeded);
    }
    std::vector<std::string> gone;
    for (const auto& [endpoint, upstream] : state.m_upstreams) {
        if (upstream.m_expires_at <= surroundings.m_now) {
            gone.push_back(endpoint);
        }
    }
    for (const auto& endpoint : gone) {
        remove_upstream(node, surroundings, endpoint);
    }
    std::erase_if(state.m_tombstones, [&surroundings](const auto& entry) {
        return entry.second.m_expires_at <= surroundings.m_now;
    });
    start_waiting(node, surroundings);
    publish_upstreams(node);
}

bool owns_transfer(const gate_state& state, transfer_id transfer)
{
    return state.m_by_transfer.contains(transfer);
}

bool owns_exchange(const gate_state& state, exchange_id exchange)
{
    return state.m_by_exchange.contains(exchange);
}

instant next_wakeup(const gate_state& state)
{
    auto earliest = instant::max();
    for (const auto& [endpoint, upstream] : state.m_upstreams) {
        earliest = std::min(earliest, upstream.m_expires_at);
    }
    return earliest;
}

} // namespace chivevane::gate
