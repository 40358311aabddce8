#pragma once

#include "libbase/random_engine.h"
#include "libpolicy/admission/admission.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// A simulation of overload at the gates of one service. It compares the order in which a gate runs
/// and refuses attempts, without a network.
namespace chivevane::test {

/// Order in which a gate of the model runs attempts. All serve the more urgent priority first.
enum class model_policy : std::uint8_t {
    priority,          ///< `overload_policy::priority`: fair between organisations.
    earliest_deadline, ///< The attempt that is due first, without fairness.
    least_slack,       ///< The attempt with the earliest latest start, without fairness.
    shortest_first,    ///< The attempt with the shortest expected run, without fairness.
    least_cost,        ///< `overload_policy::least_cost`.
};

/// Requests of one organisation, or calls of upstreams, for one route.
struct model_sender {
    std::string m_organisation; ///< Empty for calls, which have no latency target.
    std::uint32_t m_priority = 0;
    double m_share = 1; ///< Share of the slot time that the load asks for.
    duration m_run = 110ms;
    duration m_target = 1s;
    double m_estimate_factor = 1; ///< Expected run time over the mean run time.
};

/// Counts of the requests that arrived in one second from one sender, or of all.
struct sender_counts {
    std::uint64_t m_asked = 0;
    std::uint64_t m_in_time = 0;
    std::uint64_t m_late = 0;     ///< Answered after the target and before the deadline.
    std::uint64_t m_unserved = 0; ///< Run, and answered after the deadline.
    std::uint64_t m_refused = 0;

    double share_in_time() const
    {
        return m_asked == 0 ? 1 : static_cast<double>(m_in_time) / static_cast<double>(m_asked);
    }
    double share_served() const
    {
        return m_asked == 0
                   ? 1
                   : static_cast<double>(m_in_time + m_late) / static_cast<double>(m_asked);
    }
    sender_counts& operator+=(const sender_counts& other);
};

/// The gate of one upstream.
class model_gate {
public:
    virtual ~model_gate() = default;
    virtual void set_slots(std::uint32_t slots, instant now) = 0;
    virtual admission::decision offer(const queued_attempt& attempt, instant now) = 0;
    virtual void release(duration latency, duration expected, instant now) = 0;
    virtual std::vector<queued_attempt> take_startable(instant now) = 0;
    virtual std::vector<queued_attempt> take_refused(instant now) = 0;
    virtual instant next_wakeup() const = 0;
    virtual std::size_t queued() const = 0;
};

/// How many of its slots a gate of the product's policies uses. The gates of the other policies use
/// all.
enum class model_concurrency : std::uint8_t { all_slots, learned };

std::unique_ptr<model_gate> make_gate(model_policy policy, model_concurrency concurrency);

/// The gates of a service and the requests that they get.
struct shedding_model {
    shedding_model(model_policy policy, std::size_t gates, std::uint32_t slots,
                   std::vector<model_sender> senders, std::uint64_t seed,
                   model_concurrency concurrency = model_concurrency::all_slots);

    /// Sends requests for `length` that need `load` times the slot time of the gates. Organisation
    /// `flooding` sends `flood` times as many as that.
    void run_load(double load, duration length, const std::string& flooding = "", double flood = 1);

    /// Gives each gate this many slots.
    void set_slots(std::uint32_t slots);

    /// Waits until all requests have ended.
    void drain();

    /// Counts from now on only.
    void reset_counts();

    sender_counts total(const std::function<bool(const model_sender&)>& is_counted) const;

    /// Share of the slot time that was spent on requests that ended unserved.
    double wasted_share() const { return m_used_s == 0 ? 0 : m_wasted_s / m_used_s; }

    /// Share of the slot time that was spent on answers after their target.
    double late_share() const { return m_used_s == 0 ? 0 : m_late_s / m_used_s; }

    std::uint64_t m_hopeless_starts = 0; ///< Started too late while others waited.
    duration m_longest_hopeless_wait{};  ///< Longest wait after the latest start of an attempt.
    std::uint64_t m_inversions = 0;      ///< Starts while a more urgent attempt waited.
    std::uint64_t m_shed = 0;            ///< Attempts refused after they were queued.
    /// By sender and the second of arrival since the last reset.
    std::vector<std::map<std::int64_t, sender_counts>> m_counts;
    std::vector<model_sender> m_senders;

private:
    struct request {
        std::size_t m_sender = 0;
        std::size_t m_gate = 0;
        std::size_t m_tried = 0;
        instant m_arrived;
        instant m_started;
        duration m_run{};
    };

    static constexpr std::size_t max_attempts = 3;

    void at(instant when, std::function<void()> action);
    void run_until(instant when);
    void arrive(std::size_t sender);
    void place(const attempt_id& id);
    void start(const queued_attempt& attempt);
    void finish(const attempt_id& id);
    void process(std::size_t gate);
    queued_attempt attempt_of(const attempt_id& id) const;
    sender_counts& counts_of(const request& from);
    double normal();

    random_engine m_random;
    std::uint32_t m_slots;
    std::uint32_t m_base_slots;
    std::vector<std::unique_ptr<model_gate>> m_gates;
    std::vector<std::map<attempt_id, queued_attempt>> m_waiting; ///< By gate.
    std::vector<instant> m_wakeups;
    std::multimap<instant, std::function<void()>> m_events;
    std::map<attempt_id, request> m_requests;
    instant m_now{1h};
    instant m_counted_from{1h};
    sender_counts m_uncounted; ///< Of the requests that arrived before the last reset.
    std::uint64_t m_last_id = 0;
    double m_used_s = 0;
    double m_wasted_s = 0;
    double m_late_s = 0;
};

} // namespace chivevane::test
