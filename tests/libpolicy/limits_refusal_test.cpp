#include "libpolicy/limits_fleet.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <cstdlib>
#include <fmt/format.h>

using namespace chivevane;
using namespace chivevane::test;

namespace {

enum class placement { spread, one_host, moving };
enum class arrival { steady, bursts };
enum class fault { none, host_dead, store_down };

constexpr std::array placement_names{"spread", "one-host", "moving"};
constexpr std::array arrival_names{"steady", "bursts"};

/// A kind of demand; several organisations have the same kind.
struct demand_class {
    rate_limit m_limit;
    double m_load = 0; ///< Demand as a fraction of the rate.
    placement m_placement = placement::spread;
    arrival m_arrival = arrival::steady;

    bool is_large() const { return m_limit.m_rate > 100; }
    /// The number of organisations with this demand, chosen so that all classes have similar counts
    /// of requests.
    std::size_t copies() const { return is_large() ? 4 : 24; }
};

/// A request that is to be sent to a host at a given time.
struct planned_request {
    duration m_at;
    std::size_t m_host = 0;
};

/// Counts over the requests inside the rate, which are those that a single exact token bucket would
/// start.
struct refusal_counts {
    std::size_t m_inside = 0;
    std::size_t m_refused = 0;
    std::size_t m_waited = 0;
    duration m_longest_wait{};

    double refused_percent() const
    {
        return 100.0 * static_cast<double>(m_refused) /
               static_cast<double>(std::max<std::size_t>(1, m_inside));
    }
};

/// A part of the run that is checked separately.
struct window {
    const char* m_name;
    duration m_from;
    duration m_to;
};

constexpr std::size_t host_count = 34;
constexpr std::size_t dead_host = 5;
constexpr duration warm_up = 2s;
constexpr duration fault_at = 6s;
constexpr duration detected_after = 3s; // Time that membership takes to consider the host dead.
constexpr duration run_end = 27s;
constexpr window whole_run{"ordinary", warm_up, run_end};
constexpr window after_fault{"first 5 s", fault_at, fault_at + 5s};
constexpr window steady_state{"after 15 s", fault_at + 15s, run_end};

constexpr double ordinary_target = 0.5; ///< Largest percentage refused without a fault.
constexpr double fault_target = 2;      ///< Largest percentage refused with a fault.

std::size_t pick_host(const demand_class& kind, std::size_t home, duration at,
                      random_engine& random)
{
    auto host = home;
    if (kind.m_placement == placement::spread) {
        host = random(host_count);
    }
    if (kind.m_placement == placement::moving) {
        host = (home + 7 * static_cast<std::size_t>(at / 1s)) % host_count;
    }
    return host == dead_host ? dead_host + 1 : host; // Callers of the dead host use another host.
}

std::vector<planned_request> plan_requests(const demand_class& kind, std::size_t home,
                                           random_engine& random)
{
    std::vector<planned_request> plan;
    const double rate = kind.m_limit.m_rate * kind.m_load;
    for (auto at = warm_up; at < run_end;) {
        if (kind.m_arrival == arrival::bursts) {
            const auto host = pick_host(kind, home, at, random);
            plan.insert(plan.end(), static_cast<std::size_t>(kind.m_limit.m_burst), {at, host});
            at += from_seconds(kind.m_limit.m_burst / rate);
        }
        else {
            plan.push_back({at, pick_host(kind, home, at, random)});
            at += from_seconds(-std::log(1 - uniform_fraction(random)) / rate);
        }
    }
    return plan;
}

std::vector<demand_class> all_classes()
{
    std::vector<demand_class> classes;
    for (const rate_limit limit : {rate_limit{200, 200}, rate_limit{5, 5}}) {
        for (const double load : {0.5, 0.9, 0.99}) {
            for (const auto where : {placement::spread, placement::one_host, placement::moving}) {
                for (const auto how : {arrival::steady, arrival::bursts}) {
                    classes.push_back({limit, load, where, how});
                }
            }
        }
    }
    return classes;
}

std::string describe(const demand_class& kind)
{
    return fmt::format("{:3}/s {:2.0f}% {:8} {:6}", kind.m_limit.m_rate, 100 * kind.m_load,
                       placement_names.at(static_cast<std::size_t>(kind.m_placement)),
                       arrival_names.at(static_cast<std::size_t>(kind.m_arrival)));
}

/// One organisation's demand and the decisions on its requests.
struct organisation_run {
    std::size_t m_class = 0;
    std::size_t m_owner = 0; ///< Host that owns the bucket in `single_leased_owner`.
    std::vector<planned_request> m_plan;
    std::vector<fleet_request> m_results; ///< Decisions of the real code.
};

std::vector<bool> exact(const organisation_run& run, const rate_limit& limit)
{
    std::vector<duration> arrivals;
    for (const auto& planned : run.m_plan) {
        arrivals.push_back(planned.m_at);
    }
    return exact_decisions(arrivals, limit);
}

/// Baseline that splits the limit statically: each host has 1/n of the rate and the burst.
std::vector<bool> static_split(const organisation_run& run, const rate_limit& limit, fault)
{
    std::vector<double> tokens(host_count, limit.m_burst / host_count);
    std::vector<duration> filled_at(host_count);
    std::vector<bool> decisions;
    for (const auto& [at, host] : run.m_plan) {
        const double refilled = to_seconds(at - filled_at[host]) * limit.m_rate / host_count;
        tokens[host] = std::min(limit.m_burst / host_count, tokens[host] + refilled);
        filled_at[host] = at;
        decisions.push_back(tokens[host] >= 1);
        tokens[host] -= tokens[host] >= 1 ? 1 : 0;
    }
    return decisions;
}

/// Baseline with one owner of an exact bucket, under a lease of 3 s in the store. A new owner
/// starts with an empty bucket, since it does not know how many tokens are left.
std::vector<bool> single_leased_owner(const organisation_run& run, const rate_limit& limit,
                                      fault what)
{
    constexpr duration lease = 3s;
    const bool loses_owner = what == fault::host_dead && run.m_owner == dead_host;
    double tokens = limit.m_burst;
    duration filled_at{};
    std::vector<bool> decisions;
    for (const auto& [at, host] : run.m_plan) {
        const bool is_lease_expired = at > fault_at + lease;
        const bool is_ownerless = (loses_owner && at > fault_at && !is_lease_expired) ||
                                  (what == fault::store_down && is_lease_expired);
        if (loses_owner && is_lease_expired && filled_at < fault_at + lease) {
            tokens = 0;
            filled_at = fault_at + lease;
        }
        tokens = std::min(limit.m_burst, tokens + to_seconds(at - filled_at) * limit.m_rate);
        filled_at = at;
        const bool is_granted = !is_ownerless && tokens >= 1;
        decisions.push_back(is_granted);
        tokens -= is_granted ? 1 : 0;
    }
    return decisions;
}

/// Sends all demand to a fleet, in which `what` happens at `fault_at`.
std::vector<organisation_run> run_fleet(fault what)
{
    fleet_options options;
    options.m_loss = 0.001;
    options.m_clock_error = 200e-6;
    limits_fleet fleet{options};
    std::vector<organisation_run> runs;
    random_engine random{7};
    const auto classes = all_classes();
    for (std::size_t c = 0; c < classes.size(); ++c) {
        for (std::size_t copy = 0; copy < classes[c].copies(); ++copy) {
            const auto key = fmt::format("blackmorass/org-{}", runs.size());
            fleet.m_organisations.push_back({key, classes[c].m_limit});
            const auto home = random(host_count);
            runs.push_back({c, random(host_count), plan_requests(classes[c], home, random), {}});
        }
    }
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (const auto& planned : runs[i].m_plan) {
            fleet.schedule(planned.m_at,
                           [&fleet, planned, i] { fleet.request(planned.m_host, i); });
        }
    }
    fleet.start_with_equal_shares();
    fleet.schedule(fault_at, [&] {
        fleet.m_store_is_up = what != fault::store_down;
        if (what == fault::host_dead) {
            fleet.kill(dead_host);
        }
    });
    fleet.schedule(fault_at + detected_after, [&] {
        for (std::size_t i = 0; what == fault::host_dead && i < host_count; ++i) {
            fleet.set_view(i, dead_host, member_status::dead);
        }
    });
    fleet.run_until(run_end + 1s);
    for (const auto& request : fleet.m_requests) {
        runs[request.m_organisation].m_results.push_back(request);
    }
    BOOST_TEST_MESSAGE("fault=" << static_cast<int>(what) << " datagrams=" << fleet.m_datagrams
                                << " store_calls=" << fleet.m_store_calls);
    return runs;
}

/// The results of the run with the fault `what`. Each run is made once for all test cases.
const std::vector<organisation_run>& runs_with(fault what)
{
    static std::array<std::vector<organisation_run>, 3> runs;
    auto& kept = runs.at(static_cast<std::size_t>(what));
    if (kept.empty()) {
        kept = run_fleet(what);
    }
    return kept;
}

using baseline_algorithm = std::vector<bool> (*)(const organisation_run&, const rate_limit&, fault);

/// Counts the decisions of `algorithm`, or of the real code if it is null, on the requests of one
/// class in one window.
refusal_counts count_refusals(fault what, std::size_t class_index, const window& span,
                              baseline_algorithm algorithm)
{
    const auto limit = all_classes()[class_index].m_limit;
    refusal_counts sum;
    for (const auto& run : runs_with(what)) {
        if (run.m_class != class_index) {
            continue;
        }
        const auto inside = exact(run, limit);
        const auto baseline =
            algorithm == nullptr ? std::vector<bool>{} : algorithm(run, limit, what);
        for (std::size_t i = 0; i < run.m_plan.size(); ++i) {
            const auto& request = run.m_results[i];
            if (!inside[i] || request.m_arrived_at < span.m_from ||
                request.m_arrived_at >= span.m_to) {
                continue;
            }
            const auto wait = request.m_decided_at - request.m_arrived_at;
            ++sum.m_inside;
            sum.m_refused += (algorithm == nullptr ? request.m_is_granted : baseline[i]) ? 0 : 1;
            sum.m_waited += wait > 0us ? 1 : 0;
            sum.m_longest_wait = std::max(sum.m_longest_wait, wait);
        }
    }
    return sum;
}

using class_filter = bool (*)(const demand_class&);

bool any_class(const demand_class&)
{
    return true;
}

bool is_large_and_steady(const demand_class& kind)
{
    return kind.is_large() && kind.m_arrival == arrival::steady;
}

/// Prints the results for one fault and window, and checks that the real code stays below `target`.
void check_refusals(fault what, const window& span, double target, class_filter filter)
{
    const auto classes = all_classes();
    for (std::size_t c = 0; c < classes.size(); ++c) {
        if (!filter(classes[c])) {
            continue;
        }
        const auto actual = count_refusals(what, c, span, nullptr);
        const auto split = count_refusals(what, c, span, static_split);
        const auto owner = count_refusals(what, c, span, single_leased_owner);
        BOOST_TEST_MESSAGE(fmt::format(
            "{} | {} | inside {:5} | refused: split {:5.1f}% owner {:5.1f}% shares {:5.2f}% | "
            "waited {:5.1f}% longest {:.1f} ms",
            span.m_name, describe(classes[c]), actual.m_inside, split.refused_percent(),
            owner.refused_percent(), actual.refused_percent(),
            100.0 * static_cast<double>(actual.m_waited) / static_cast<double>(actual.m_inside),
            to_seconds(actual.m_longest_wait) * 1e3));
        BOOST_TEST(actual.m_inside > 0U);
        BOOST_TEST(actual.refused_percent() < target, describe(classes[c]));
    }
}

bool runs_red_checks()
{
    return std::getenv("CHIVEVANE_RED") != nullptr;
}

} // namespace

BOOST_AUTO_TEST_SUITE(limits_refusals)

BOOST_AUTO_TEST_CASE(few_requests_inside_the_rate_are_refused_without_faults)
{
    check_refusals(fault::none, whole_run, ordinary_target, any_class);
}

BOOST_AUTO_TEST_CASE(few_requests_inside_the_rate_are_refused_while_the_store_is_down)
{
    check_refusals(fault::store_down, after_fault, fault_target, any_class);
    check_refusals(fault::store_down, steady_state, fault_target, any_class);
}

BOOST_AUTO_TEST_CASE(few_requests_inside_the_rate_are_refused_once_a_dead_host_is_removed)
{
    check_refusals(fault::host_dead, steady_state, fault_target, any_class);
}

BOOST_AUTO_TEST_CASE(few_steady_requests_are_refused_right_after_a_death)
{
    check_refusals(fault::host_dead, after_fault, fault_target, is_large_and_steady);
}

BOOST_AUTO_TEST_CASE(few_requests_of_any_kind_are_refused_right_after_a_death,
                     *boost::unit_test::precondition([](auto) { return runs_red_checks(); }))
{
    check_refusals(fault::host_dead, after_fault, fault_target, any_class);
}

BOOST_AUTO_TEST_SUITE_END()
