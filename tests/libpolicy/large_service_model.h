#pragma once

#include "libbase/random_engine.h"
#include "libpolicy/admission/admission.h"
#include "libpolicy/placement/placement.h"

#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

/// A simulation of a service of several hundred upstreams, a part of which fails, and the ingresses
/// of as many hosts. Each ingress sees few requests, so it knows the state of few gates. Attempts
/// pass between placement and admission without a network.
namespace chivevane::test {

/// The size of a modelled service and the requests that it gets.
struct service_shape {
    std::size_t m_gates = 300;
    std::size_t m_ingresses = 300;
    std::size_t m_failing_in_ten = 3; ///< Of ten upstreams, those whose circuit is open.
    std::uint32_t m_slots = 4;
    double m_run_s = 0.25; ///< Mean run time in seconds.
    duration m_target = 1s;
    duration m_deadline = 3s;
    std::string m_organisation = "document/organisation"; ///< Empty for calls of upstreams.

    /// Requests per second that the upstreams with a closed circuit can run.
    double capacity() const
    {
        const auto healthy = static_cast<double>(m_gates * (10 - m_failing_in_ten)) / 10;
        return healthy * m_slots / m_run_s;
    }
};

using option_list = std::vector<placement::option>;
using placement_policy = std::function<std::optional<placement::decision>(
    const option_list&, const placement::decision_input&, random_engine&)>;

/// A request of the model.
struct model_request {
    instant m_arrived_at;
    std::size_t m_ingress = 0;
    std::uint32_t m_priority = 0;
    std::size_t m_number = 0; ///< Chosen by the test.
};

/// How a request of the model ended.
enum class model_end : std::uint8_t { in_target, late, refused };

/// What callers got, in requests, and what it took.
struct outcome_counts {
    std::size_t m_asked = 0;
    std::size_t m_in_target = 0;
    std::size_t m_late = 0;
    std::size_t m_refused = 0;
    std::size_t m_attempts = 0;
    std::size_t m_far_attempts = 0; ///< Attempts sent to another data centre.

    double share_in_target() const
    {
        return static_cast<double>(m_in_target) / static_cast<double>(m_asked);
    }
    double attempts_per_request() const
    {
        return static_cast<double>(m_attempts) / static_cast<double>(m_asked);
    }
    double far_attempts_per_request() const
    {
        return static_cast<double>(m_far_attempts) / static_cast<double>(m_asked);
    }
};

/// A service of many upstreams and the ingresses of many hosts, each with its own records.
struct large_service_model {
    large_service_model(const service_shape& shape, placement_policy policy)
        : m_shape(shape),
          m_policy(std::move(policy)),
          m_gates(shape.m_gates),
          m_records(shape.m_ingresses)
    {
        for (std::size_t gate = 0; gate < m_shape.m_gates; ++gate) {
            admission::set_upstream(m_gates[gate], "e", shape.m_slots, warm_up_state::warm,
                                    admission::announced_run::new_run, m_now);
            admission::set_cold_bounds(m_gates[gate], "e", {1000, 1400});
            m_upstreams.push_back({"host-" + std::to_string(1000 + gate), "e"});
        }
    }

    static constexpr std::size_t datacentre_count = 5;
    static constexpr std::size_t max_attempts = 14; // As the ingress allows.

    static std::size_t datacentre_of(std::size_t index) { return index % datacentre_count; }

    /// The same part of each data centre fails.
    bool is_failing(std::size_t gate) const
    {
        return gate / datacentre_count % 10 < m_shape.m_failing_in_ten;
    }

    std::size_t random_ingress()
    {
        return m_random(static_cast<std::uint32_t>(m_shape.m_ingresses));
    }

    /// Calls `send` at random times, `rate` times a second for `length`, and waits until all has
    /// ended.
    void run_load(double rate, duration length, const std::function<void()>& send)
    {
        const auto end = m_now + length;
        auto next = m_now;
        while (next < end) {
            next += from_seconds(-std::log(1 - uniform_fraction(m_random)) / rate);
            run_until(next);
            send();
        }
        run_until(end + m_shape.m_deadline);
    }

    void run_until(instant when)
    {
        while (!m_ends.empty() && m_ends.top().first <= when) {
            const auto [at, id] = m_ends.top();
            m_ends.pop();
            m_now = at;
            end_run(id);
        }
        m_now = when;
    }

    void place(const model_request& request)
    {
        auto& records = m_records[request.m_ingress];
        ++m_counts.m_asked;
        option_list choices(m_shape.m_gates);
        for (std::size_t gate = 0; gate < m_shape.m_gates; ++gate) {
            choices[gate].m_slots = m_shape.m_slots;
            choices[gate].m_is_in_own_datacentre =
                datacentre_of(gate) == datacentre_of(request.m_ingress);
            choices[gate].m_record = placement::find_record(records, m_upstreams[gate]);
        }
        for (std::size_t attempt = 0; attempt < max_attempts; ++attempt) {
            const auto decided =
                m_policy(choices, {attempt, request.m_priority, false, m_now}, m_random);
            if (!decided) {
                break;
            }
            ++m_counts.m_attempts;
            m_counts.m_far_attempts += choices[decided->m_option].m_is_in_own_datacentre ? 0U : 1U;
            if (offer(request, *decided)) {
                return;
            }
            auto& chosen = choices[decided->m_option];
            const bool may_queue = decided->m_queueing == queueing_permission::allowed;
            record_refusal(request, *decided);
            chosen.m_was_tried = true;
            chosen.m_was_offered_queueing = chosen.m_was_offered_queueing || may_queue;
            chosen.m_record = placement::find_record(records, m_upstreams[decided->m_option]);
        }
        end_request(request, model_end::refused);
    }

    bool offer(const model_request& request, const placement::decision& decided)
    {
        const auto gate = decided.m_option;
        if (is_failing(gate)) {
            return false;
        }
        const attempt_id id{{"model", 1}, ++m_last_id, static_cast<std::uint32_t>(gate)};
        const queued_attempt attempt{id,
                                     "e",
                                     m_shape.m_organisation,
                                     request.m_arrived_at + m_shape.m_deadline,
                                     request.m_arrived_at + m_shape.m_target,
                                     {},
                                     request.m_priority,
                                     decided.m_queueing};
        const auto decision = admission::offer(m_gates[gate], attempt, m_now);
        if (decision == admission::decision::refused) {
            return false;
        }
        m_requests[id] = request;
        if (decision == admission::decision::started) {
            start(id);
        }
        return true;
    }

    /// Records at the ingress what it learns from the refusal of a gate.
    void record_refusal(const model_request& request, const placement::decision& decided)
    {
        const auto gate = decided.m_option;
        auto& records = m_records[request.m_ingress];
        const auto& upstream = m_upstreams[gate];
        const auto load = admission::load_of(m_gates[gate], "e");
        placement::record_load(
            records, upstream,
            static_cast<double>(load.m_running + load.m_queued) / m_shape.m_slots, m_now);
        const auto datacentre = datacentre_of(gate) == datacentre_of(request.m_ingress)
                                    ? placement::gate_datacentre::own
                                    : placement::gate_datacentre::other;
        if (is_failing(gate)) {
            placement::record_open_circuit(records, upstream, m_now);
            return;
        }
        if (decided.m_queueing == queueing_permission::allowed) {
            placement::record_full_queue(records, upstream, datacentre, request.m_priority, m_now);
        }
        placement::record_busy(records, upstream, datacentre, m_now);
    }

    void start(const attempt_id& id)
    {
        const auto length = m_shape.m_run_s * -std::log(1 - uniform_fraction(m_random));
        m_started[id] = m_now;
        m_ends.push({m_now + from_seconds(length), id});
    }

    void end_run(const attempt_id& id)
    {
        const auto gate = id.m_attempt;
        admission::release(m_gates[gate], "e", admission::run_result::good,
                           m_now - m_started.at(id), m_now);
        const auto request = m_requests.at(id);
        end_request(request, m_now - request.m_arrived_at <= m_shape.m_target ? model_end::in_target
                                                                              : model_end::late);
        for (const auto& expired : admission::take_expired(m_gates[gate], m_now)) {
            end_request(m_requests.at(expired.m_attempt), model_end::refused);
        }
        for (const auto& next : admission::take_startable(m_gates[gate], m_now)) {
            start(next.m_attempt);
        }
    }

    void end_request(const model_request& request, model_end end)
    {
        auto& count = end == model_end::in_target ? m_counts.m_in_target
                      : end == model_end::late    ? m_counts.m_late
                                                  : m_counts.m_refused;
        ++count;
        if (m_on_end) {
            m_on_end(request, end);
        }
    }

    service_shape m_shape;
    placement_policy m_policy;
    std::function<void(const model_request&, model_end)> m_on_end; ///< May be empty.
    instant m_now{1h};
    random_engine m_random{11};
    std::vector<admission_state> m_gates;
    std::vector<upstream_id> m_upstreams;
    std::vector<destination_records> m_records; ///< By ingress.
    std::map<attempt_id, model_request> m_requests;
    std::map<attempt_id, instant> m_started;
    std::priority_queue<std::pair<instant, attempt_id>, std::vector<std::pair<instant, attempt_id>>,
                        std::greater<>>
        m_ends;
    outcome_counts m_counts;
    std::uint64_t m_last_id = 0;
};

} // namespace chivevane::test
