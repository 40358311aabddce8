#include "libpolicy/admission/admission.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

using namespace chivevane;

namespace {

/// Measures one attempt that passes a full queue in which several organisations wait.
void attempt_through_a_full_queue(benchmark::State& state)
{
    admission_state gate;
    instant now{1h};
    admission::set_upstream(gate, "e", 4, warm_up_state::warm, admission::announced_run::new_run,
                            now);
    std::uint64_t number = 0;
    const auto offer = [&] {
        const auto organisation = fmt::format("org-{}", number % state.range(0));
        const attempt_id id{{"ingress", 1}, ++number, 1};
        benchmark::DoNotOptimize(admission::offer(gate, {id, "e", organisation, now + 10s}, now));
    };
    for (int index = 0; index < 100; ++index) {
        offer();
    }
    while (state.KeepRunning()) {
        now += 5ms;
        admission::release(gate, "e", admission::run_result::good, 20ms, now);
        benchmark::DoNotOptimize(admission::take_expired(gate, now));
        benchmark::DoNotOptimize(admission::take_startable(gate, now));
        benchmark::DoNotOptimize(admission::next_wakeup(gate));
        offer();
    }
}
BENCHMARK(attempt_through_a_full_queue)->Arg(1)->Arg(8)->Arg(64);

} // namespace
