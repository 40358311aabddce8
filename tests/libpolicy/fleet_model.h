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

/// The fault of a modelled upstream while it is faulty.
struct upstream_fault {
    double m_slowdown = 1;        ///< Factor on the latency.
    double m_failure_share = 0;   ///< Share of requests that get a 5xx.
    double m_stuck_share = 0;     ///< Share of requests that never get an answer.
    double m_corrupted_share = 0; ///< Share of answers that reach the ingress corrupted.
};

/// The policy that chooses and ejects upstreams. With `pooled` it is this project's modules, which
/// use the evidence of all hosts. With `naive` it is a simple proxy: each host chooses at random
/// and ejects an upstream after a fixed number of consecutive failures that it observed itself.
enum class model_policy : std::uint8_t { pooled, naive };

/// The size and the normal conditions of a modelled fleet with one service.
struct fleet_shape {
    std::size_t m_hosts = 10;
    std::size_t m_upstreams = 10; ///< One on each of the first hosts.
    std::size_t m_datacentres = 3;
    double m_requests_per_second = 600;
    double m_floor = 0.5;                ///< Share of the capacity that must stay in use.
    double m_report_loss_share = 0.01;   ///< Share of datagrams that get lost.
    double m_base_failure_share = 0.001; ///< Share of failures of an upstream without fault.
    duration m_median_latency = 20ms;
    double m_latency_spread = 0.8;   ///< Sigma of the log-normal latency; 1% take 20 times longer.
    double m_idempotent_share = 0.8; ///< Share of requests that are idempotent.
    model_policy m_policy = model_policy::pooled;
};

/// One upstream of the model.
struct model_upstream {
    upstream_id m_id;
    upstream_fault m_fault;
    /// Faulty and fault-free periods of this length alternate; zero makes the fault permanent.
    duration m_flap_period{};
    instant m_faulty_from = instant::max();
    std::uint32_t m_active_requests = 0;
};

/// Counters and samples of one run of the model.
struct model_tally {
    std::uint64_t m_good = 0;      ///< Attempts with a good answer.
    std::uint64_t m_bad = 0;       ///< Attempts that failed, got stuck or were corrupted.
    std::uint64_t m_refused = 0;   ///< Requests that no upstream ran.
    std::uint64_t m_ejections = 0; ///< The sum over all hosts.
    /// Times of ejections with the index of the ejecting host, keyed by endpoint.
    std::map<std::string, std::vector<std::pair<instant, std::size_t>>> m_ejected;
    std::vector<duration> m_latencies;    ///< Times from arrival to a good answer.
    std::vector<std::uint64_t> m_started; ///< Attempts started, indexed by upstream.
};

/// One host of the model with its modules. All hosts share the clock of the model.
struct model_host {
    host_settings m_settings;
    random_engine m_random;
    std::uint64_t m_last_id = 0;
    health_state m_health;
    admission_state m_admission;
    /// Consecutive failures of each upstream; used by the naive policy.
    std::map<upstream_id, std::uint32_t> m_naive_failures;
    std::map<upstream_id, instant> m_naive_ejected_until;
};

/// A simulation of many hosts in virtual time. They exchange reports with delay and loss.
class fleet_model {
public:
    fleet_model(const fleet_shape& shape, std::uint64_t seed);

    void run_for(duration length);

    /// The time from `since` until half of the hosts had ejected the upstream; `none` if they never
    /// had.
    duration detection_time(std::size_t upstream, instant since) const;
    static constexpr duration none = duration::max();

    /// The number of hosts on which the upstream now has this health status.
    std::size_t count_with_status(std::size_t upstream, health::health_status status) const;

    document m_document;
    configuration_state m_configuration;
    membership_state m_members;
    fleet_shape m_shape;
    std::vector<model_host> m_hosts;
    std::vector<model_upstream> m_upstreams;
    model_tally m_tally;
    instant m_now{1h};

    /// Puts a changed `m_document` in force.
    void apply_rules();

private:
    struct request;
    struct scheduled {
        instant m_at;
        std::uint64_t m_sequence = 0;
        std::function<void()> m_action;
    };

    void schedule(instant when, std::function<void()> action);
    effect_list run_with_context(model_host& host,
                                 const std::function<void(reducer_context&)>& action);
    void deliver(std::size_t sender, const effect_list& effects);
    void tick(std::size_t host);
    void announce(std::size_t upstream);
    void generate_request();
    void send_attempt(const std::shared_ptr<request>& sent);
    std::optional<std::size_t> choose(const request& sent);
    void start(std::size_t upstream, const attempt_id& attempt);
    void start_queued_attempts(std::size_t upstream);
    void finish(std::size_t upstream, const std::shared_ptr<request>& sent, observed_result result,
                duration latency);
    void update_naive_ejection(std::size_t host, std::size_t upstream, observed_result result);
    bool is_faulty(const model_upstream& upstream) const;
    duration sample_latency();
    double uniform();

    random_engine m_random;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_last_request = 0;
    std::map<attempt_id, std::shared_ptr<request>> m_waiting;
    struct runs_later {
        bool operator()(const scheduled& left, const scheduled& right) const;
    };
    std::priority_queue<scheduled, std::vector<scheduled>, runs_later> m_queue;
};

} // namespace chivevane::test
