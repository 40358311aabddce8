#pragma once

#include "libpolicy/admission/admission.h"
#include "libpolicy/health/health.h"
#include "libpolicy/routing/routing.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

namespace chivevane::test {

/// What is wrong with a modelled upstream while it is sick.
struct sickness {
    double m_slowdown = 1;
    double m_failing = 0; ///< Share of requests that get a 5xx.
    double m_stuck = 0;   ///< Share of requests that never get an answer.
    double m_wrong = 0;   ///< Share of answers that come to the ingress spoilt.
};

/// Who decides: this project's modules, or a plain proxy with random choice and a fixed threshold
/// of its own.
enum class model_policy : std::uint8_t { pooled, naive };

/// The size and the ordinary conditions of a modelled fleet with one service.
struct fleet_shape {
    std::size_t m_hosts = 10;
    std::size_t m_upstreams = 10; ///< On the first hosts, one each.
    std::size_t m_datacentres = 3;
    double m_requests_per_second = 600;
    double m_floor = 0.5;
    double m_report_loss = 0.01;
    double m_ordinary_failures = 0.001;
    duration m_median_latency = 20ms;
    double m_latency_spread = 0.8; ///< Sigma of the logarithm; one in 100 takes 20 times longer.
    double m_idempotent = 0.8;
    model_policy m_policy = model_policy::pooled;
};

/// One upstream of the model.
struct model_upstream {
    upstream_id m_id;
    sickness m_sickness;
    duration m_flap_period{}; ///< Sick and well by turns of this length; zero for no change.
    instant m_sick_from = instant::max();
    std::uint32_t m_running = 0;
};

/// What happened in the model.
struct model_tally {
    std::uint64_t m_good = 0;
    std::uint64_t m_bad = 0; ///< Failed, stuck or spoilt.
    std::uint64_t m_refused = 0;
    std::uint64_t m_ejections = 0; ///< Over all hosts.
    std::map<std::string, std::vector<std::pair<instant, std::size_t>>> m_ejected; ///< By endpoint.
    std::vector<duration> m_latencies;    ///< From arrival to a good answer.
    std::vector<std::uint64_t> m_started; ///< By upstream.
};

/// One host of the model with its modules, its clock being that of the model.
struct model_host {
    host_settings m_settings;
    random_engine m_random;
    std::uint64_t m_last_id = 0;
    health_state m_health;
    admission_state m_admission;
    std::map<upstream_id, std::uint32_t> m_naive_failures;
    std::map<upstream_id, instant> m_naive_until;
};

/// Many hosts in made-up time, exchanging reports with delay and loss.
class fleet_model {
public:
    fleet_model(const fleet_shape& shape, std::uint64_t seed);

    void run_for(duration length);

    /// The time from `since` until half of the hosts had ejected the upstream; `none` if never.
    duration detection_time(std::size_t upstream, instant since) const;
    static constexpr duration none = duration::max();

    /// Hosts on which the upstream now has this standing.
    std::size_t count_standing(std::size_t upstream, health::standing wanted) const;

    document m_rules;
    configuration_state m_configuration;
    membership_state m_members;
    fleet_shape m_shape;
    std::vector<model_host> m_hosts;
    std::vector<model_upstream> m_upstreams;
    model_tally m_tally;
    instant m_now{1h};

    /// Puts a changed `m_rules` in force.
    void apply_rules();

private:
    struct request;
    struct scheduled {
        instant m_at;
        std::uint64_t m_sequence = 0;
        std::function<void()> m_action;
    };

    void at(instant when, std::function<void()> action);
    effect_list with_context(model_host& host, const std::function<void(context&)>& action);
    void deliver(std::size_t sender, const effect_list& effects);
    void tick(std::size_t host);
    void announce(std::size_t upstream);
    void arrive();
    void send(const std::shared_ptr<request>& sent);
    std::optional<std::size_t> choose(const request& sent);
    void start(std::size_t upstream, const attempt_id& attempt);
    void start_waiting(std::size_t upstream);
    void finish(std::size_t upstream, const std::shared_ptr<request>& sent, observed_result result,
                duration latency);
    void note_naive(std::size_t host, std::size_t upstream, observed_result result);
    bool is_sick(const model_upstream& upstream) const;
    duration sample_latency();
    double uniform();

    random_engine m_random;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_last_request = 0;
    std::map<attempt_id, std::shared_ptr<request>> m_waiting;
    struct later {
        bool operator()(const scheduled& left, const scheduled& right) const;
    };
    std::priority_queue<scheduled, std::vector<scheduled>, later> m_queue;
};

} // namespace chivevane::test
