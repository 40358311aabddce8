#include "shedding_model.h"

#include <algorithm>
#include <cmath>

namespace chivevane::test {

namespace {

class admission_gate final : public model_gate {
public:
    admission_gate(overload_policy policy, model_concurrency concurrency)
        : m_concurrency(concurrency)
    {
        m_state.m_overload = policy;
    }

    void set_slots(std::uint32_t slots, instant now) override
    {
        admission::set_upstream(m_state, "e", slots, warm_up_state::warm,
                                admission::announced_run::known_run, now);
        if (m_concurrency == model_concurrency::all_slots) {
            admission::set_cold_bounds(m_state, "e", {1000, 1400});
        }
    }

    admission::decision offer(const queued_attempt& attempt, instant now) override
    {
        return admission::offer(m_state, attempt, now);
    }

    void release(duration latency, duration expected, instant now) override
    {
        admission::release(m_state, "e", admission::run_result::good, latency, now, expected);
    }

    std::vector<queued_attempt> take_startable(instant now) override
    {
        return admission::take_startable(m_state, now);
    }

    std::vector<queued_attempt> take_refused(instant now) override
    {
        auto refused = admission::take_expired(m_state, now);
        for (auto& shed : admission::take_shed(m_state, now)) {
            refused.push_back(std::move(shed.m_attempt));
        }
        return refused;
    }

    instant next_wakeup() const override { return admission::next_wakeup(m_state); }

    std::size_t queued() const override { return admission::load_of(m_state, "e").m_queued; }

private:
    model_concurrency m_concurrency;
    admission_state m_state;
};

/// Gate with one queue that is sorted by priority and a key. It admits by the expected wait, as
/// `overload_policy::priority` does, and refuses attempts once they cannot start in time.
class sorted_gate final : public model_gate {
public:
    explicit sorted_gate(model_policy policy) : m_policy(policy) {}

    void set_slots(std::uint32_t slots, instant) override { m_slots = slots; }

    admission::decision offer(const queued_attempt& attempt, instant now) override
    {
        if (m_running < m_slots && m_queue.empty()) {
            ++m_running;
            return admission::decision::started;
        }
        const auto rank = rank_of(attempt);
        const auto place =
            std::upper_bound(m_queue.begin(), m_queue.end(), rank,
                             [this](const auto& key, const auto& b) { return key < rank_of(b); });
        const auto ahead = std::distance(m_queue.begin(), place);
        const duration wait = m_mean * (ahead + 1) / m_slots;
        if (m_queue.size() >= std::size_t{16} * m_slots ||
            now + wait + 2 * attempt.m_expected_run > admission::due_time_of(attempt)) {
            return admission::decision::refused;
        }
        m_queue.insert(place, attempt);
        return admission::decision::queued;
    }

    void release(duration latency, duration, instant) override
    {
        m_mean = m_mean == duration{} ? latency : (m_mean * 19 + latency) / 20;
        --m_running;
    }

    std::vector<queued_attempt> take_startable(instant) override
    {
        std::vector<queued_attempt> started;
        while (m_running < m_slots && !m_queue.empty()) {
            started.push_back(m_queue.front());
            m_queue.erase(m_queue.begin());
            ++m_running;
        }
        return started;
    }

    std::vector<queued_attempt> take_refused(instant now) override
    {
        const auto first =
            std::stable_partition(m_queue.begin(), m_queue.end(), [now](const auto& waiting) {
                return admission::latest_start_of(waiting) > now;
            });
        std::vector<queued_attempt> refused(first, m_queue.end());
        m_queue.erase(first, m_queue.end());
        return refused;
    }

    instant next_wakeup() const override
    {
        auto earliest = instant::max();
        for (const auto& waiting : m_queue) {
            earliest = std::min(earliest, admission::latest_start_of(waiting));
        }
        return earliest;
    }

    std::size_t queued() const override { return m_queue.size(); }

private:
    std::pair<std::uint32_t, std::int64_t> rank_of(const queued_attempt& attempt) const
    {
        const auto key = m_policy == model_policy::earliest_deadline
                             ? admission::due_time_of(attempt).time_since_epoch()
                         : m_policy == model_policy::least_slack
                             ? admission::latest_start_of(attempt).time_since_epoch()
                             : attempt.m_expected_run;
        return {attempt.m_priority, key.count()};
    }

    model_policy m_policy;
    std::uint32_t m_slots = 1;
    std::uint32_t m_running = 0;
    duration m_mean{};
    std::vector<queued_attempt> m_queue;
};

} // namespace

sender_counts& sender_counts::operator+=(const sender_counts& other)
{
    m_asked += other.m_asked;
    m_in_time += other.m_in_time;
    m_late += other.m_late;
    m_unserved += other.m_unserved;
    m_refused += other.m_refused;
    return *this;
}

std::unique_ptr<model_gate> make_gate(model_policy policy, model_concurrency concurrency)
{
    switch (policy) {
    case model_policy::priority:
        return std::make_unique<admission_gate>(overload_policy::priority, concurrency);
    case model_policy::least_cost:
        return std::make_unique<admission_gate>(overload_policy::least_cost, concurrency);
    default:
        return std::make_unique<sorted_gate>(policy);
    }
}

shedding_model::shedding_model(model_policy policy, std::size_t gates, std::uint32_t slots,
                               std::vector<model_sender> senders, std::uint64_t seed,
                               model_concurrency concurrency)
    : m_counts(senders.size()),
      m_senders(std::move(senders)),
      m_random{seed},
      m_slots(slots),
      m_base_slots(slots),
      m_waiting(gates),
      m_wakeups(gates)
{
    for (std::size_t gate = 0; gate < gates; ++gate) {
        m_gates.push_back(make_gate(policy, concurrency));
        m_gates.back()->set_slots(slots, m_now);
    }
}

void shedding_model::run_load(double load, duration length, const std::string& flooding,
                              double flood)
{
    double shares = 0;
    for (const auto& from : m_senders) {
        shares += from.m_share;
    }
    const auto end = m_now + length;
    const auto slot_time = load * static_cast<double>(m_gates.size()) * m_base_slots;
    for (std::size_t sender = 0; sender < m_senders.size(); ++sender) {
        const auto& from = m_senders[sender];
        auto rate = slot_time * from.m_share / shares / to_seconds(from.m_run);
        rate *= from.m_organisation == flooding && !flooding.empty() ? flood : 1;
        for (auto next = m_now;;) {
            next += from_seconds(-std::log(1 - uniform_fraction(m_random)) / rate);
            if (next >= end) {
                break;
            }
            at(next, [this, sender] { arrive(sender); });
        }
    }
    run_until(end);
}

void shedding_model::set_slots(std::uint32_t slots)
{
    m_slots = slots;
    for (const auto& gate : m_gates) {
        gate->set_slots(slots, m_now);
    }
}

void shedding_model::drain()
{
    while (!m_events.empty()) {
        run_until(m_events.begin()->first);
    }
}

void shedding_model::reset_counts()
{
    for (auto& counts : m_counts) {
        counts.clear();
    }
    m_counted_from = m_now;
    m_hopeless_starts = m_inversions = m_shed = 0;
    m_longest_hopeless_wait = {};
    m_used_s = m_wasted_s = m_late_s = 0;
}

sender_counts
shedding_model::total(const std::function<bool(const model_sender&)>& is_counted) const
{
    sender_counts sum;
    for (std::size_t sender = 0; sender < m_senders.size(); ++sender) {
        if (is_counted(m_senders[sender])) {
            for (const auto& [second, counts] : m_counts[sender]) {
                sum += counts;
            }
        }
    }
    return sum;
}

void shedding_model::at(instant when, std::function<void()> action)
{
    m_events.emplace(when, std::move(action));
}

void shedding_model::run_until(instant when)
{
    while (!m_events.empty() && m_events.begin()->first <= when) {
        const auto first = m_events.begin();
        const auto action = std::move(first->second);
        m_now = first->first;
        m_events.erase(first);
        action();
    }
    m_now = when;
}

double shedding_model::normal()
{
    const auto radius = std::sqrt(-2 * std::log(1 - uniform_fraction(m_random)));
    return radius * std::cos(6.283185307 * uniform_fraction(m_random));
}

sender_counts& shedding_model::counts_of(const request& from)
{
    if (from.m_arrived < m_counted_from) {
        return m_uncounted;
    }
    const auto second = (from.m_arrived - m_counted_from) / duration{1s};
    return m_counts[from.m_sender][second];
}

void shedding_model::arrive(std::size_t sender)
{
    constexpr double spread = 0.3; // Standard deviation of the logarithm of the run times.
    const attempt_id id{{"model", 1}, ++m_last_id, 1};
    const auto run =
        to_seconds(m_senders[sender].m_run) * std::exp(spread * normal() - spread * spread / 2);
    m_requests[id] = {sender, m_random(static_cast<std::uint32_t>(m_gates.size())),
                      0,      m_now,
                      {},     from_seconds(run)};
    ++counts_of(m_requests[id]).m_asked;
    place(id);
}

queued_attempt shedding_model::attempt_of(const attempt_id& id) const
{
    const auto& from = m_requests.at(id);
    const auto& sender = m_senders[from.m_sender];
    const bool is_call = sender.m_organisation.empty();
    return {id,
            "e",
            sender.m_organisation,
            from.m_arrived + 3 * sender.m_target,
            is_call ? instant::max() : from.m_arrived + sender.m_target,
            from_seconds(to_seconds(sender.m_run) * sender.m_estimate_factor),
            sender.m_priority};
}

void shedding_model::place(const attempt_id& id)
{
    auto& from = m_requests.at(id);
    const auto attempt = attempt_of(id);
    while (from.m_tried < std::min(max_attempts, m_gates.size())) {
        const auto gate = (from.m_gate + from.m_tried) % m_gates.size();
        ++from.m_tried;
        const auto decision = m_gates[gate]->offer(attempt, m_now);
        if (decision != admission::decision::refused) {
            from.m_gate = gate;
            if (decision == admission::decision::started) {
                start(attempt);
            }
            else {
                m_waiting[gate].emplace(id, attempt);
            }
            process(gate);
            return;
        }
    }
    ++counts_of(from).m_refused;
    m_requests.erase(id);
}

void shedding_model::start(const queued_attempt& attempt)
{
    const auto& id = attempt.m_attempt;
    auto& from = m_requests.at(id);
    from.m_started = m_now;
    auto& waiting = m_waiting[from.m_gate];
    waiting.erase(id);
    const bool is_hopeless =
        m_now + attempt.m_expected_run > admission::due_time_of(attempt) && !waiting.empty();
    m_hopeless_starts += is_hopeless ? 1 : 0;
    for (const auto& [other, queued] : waiting) {
        if (queued.m_priority < attempt.m_priority) {
            ++m_inversions;
            break;
        }
    }
    at(m_now + from.m_run, [this, id] { finish(id); });
}

void shedding_model::finish(const attempt_id& id)
{
    const auto from = m_requests.at(id);
    const auto attempt = attempt_of(id);
    m_requests.erase(id);
    auto& counts = counts_of(from);
    m_used_s += to_seconds(from.m_run);
    if (m_now > attempt.m_deadline) {
        ++counts.m_unserved;
        m_wasted_s += to_seconds(from.m_run);
    }
    else {
        const bool is_late = m_now > admission::due_time_of(attempt);
        ++(is_late ? counts.m_late : counts.m_in_time);
        m_late_s += is_late ? to_seconds(from.m_run) : 0;
    }
    m_gates[from.m_gate]->release(from.m_run, attempt.m_expected_run, m_now);
    process(from.m_gate);
}

void shedding_model::process(std::size_t gate)
{
    auto refused = m_gates[gate]->take_refused(m_now);
    for (const auto& next : m_gates[gate]->take_startable(m_now)) {
        start(next);
    }
    for (auto& more : m_gates[gate]->take_refused(m_now)) {
        refused.push_back(std::move(more));
    }
    for (const auto& each : refused) {
        ++m_shed;
        m_waiting[gate].erase(each.m_attempt);
        m_longest_hopeless_wait =
            std::max(m_longest_hopeless_wait, m_now - admission::latest_start_of(each));
    }
    for (const auto& each : refused) {
        place(each.m_attempt);
    }
    if (const auto next = m_gates[gate]->next_wakeup();
        next < instant::max() && next != m_wakeups[gate]) {
        m_wakeups[gate] = next;
        at(std::max(next, m_now), [this, gate] { process(gate); });
    }
}

} // namespace chivevane::test
