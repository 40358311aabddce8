#pragma once

#include "libbase/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

/// Decisions on the attempts that are queued for one upstream under overload: which of them are
/// refused now, and the order in which the others run. The functions work on plain data and keep
/// no state.
namespace chivevane::load_shedding {

/// Why an attempt is refused.
enum class shed_cause : std::uint8_t {
    hopeless,   ///< It would be late even if it started now.
    late,       ///< It would be late after the attempts that run before it.
    displaced,  ///< It gives way to one of the same priority that needs less work.
    queue_full, ///< The queue is longer than its limit.
};
constexpr std::size_t shed_cause_count = 4;

/// Returns the name of `cause` in logs and metrics.
std::string_view to_string(shed_cause cause);

/// A queued attempt.
struct queued_work {
    std::uint32_t m_priority = 0;    ///< 0 is the most urgent.
    std::string_view m_organisation; ///< Empty for attempts without one, as calls of upstreams.
    double m_flow_use = 0; ///< Slot time used lately by its organisation at this priority, in mean
                           ///< runs.
    instant m_due;         ///< An answer after this time is late.
    duration m_run{};      ///< Expected run time.
    duration m_margin{};   ///< Its answer must be expected this long before `m_due`.
};

/// The upstream as the decisions need it.
struct upstream_load {
    std::uint32_t m_concurrency = 1; ///< Attempts that run at once.
    std::uint32_t m_running = 0;
    duration m_mean_run{}; ///< Mean run time over all routes; must not be zero.
    std::optional<double>
        m_start_rate;              ///< Starts per second that the upstream accepts, if limited.
    double m_available_starts = 0; ///< Starts that `m_start_rate` allows at once.
    std::size_t m_max_queued = 0;  ///< Longest queue.
    instant m_now;
};

/// An attempt that is refused now, as an index into the queue.
struct shed_work {
    std::size_t m_index = 0;
    shed_cause m_cause = shed_cause::late;

    bool operator==(const shed_work&) const = default;
};

/// What becomes of the queued attempts.
struct shedding_plan {
    std::vector<std::size_t> m_run_order; ///< Indices of the attempts that stay queued.
    std::vector<shed_work> m_shed;
};

/// Decides about all queued attempts; those that arrived earlier come first in `queued`.
///
/// Attempts run in the order of their priority, then of the slot time that their organisation used,
/// then of the time at which they are due. Where one would be late in this order even if a slot
/// became free now, a costlier one ahead of it gives way: one that is still in time after it is
/// deferred; failing that, the one with the most work is refused (Moore and Hodgson, 1968). If that
/// does not help either, the late one is refused. Only attempts of the same priority give way, and
/// only those of its own organisation or of one that uses more than an equal share.
shedding_plan make_plan(std::span<const queued_work> queued, const upstream_load& load);

/// What becomes of a newcomer and of those queued before it.
struct newcomer_decision {
    std::optional<shed_cause> m_refused; ///< Empty if the newcomer is queued.
    std::vector<shed_work> m_shed;       ///< Queued attempts that are refused; empty if it is.
};

/// Decides whether a newcomer is queued. It is only queued if its answer would be in time at 1.5
/// times its expected run time and after the usual wait for the next free slot, so that most
/// attempts that are queued are answered in time. At twice the run time, a route whose run time was
/// overestimated four times got less than less urgent ones.
newcomer_decision decide_newcomer(std::span<const queued_work> queued, const queued_work& newcomer,
                                  const upstream_load& load);

} // namespace chivevane::load_shedding
