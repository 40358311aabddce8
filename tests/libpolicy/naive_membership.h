#pragma once

#include "libbase/random_engine.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chivevane::test {

/// What the naive version of membership did in a run.
struct naive_outcome {
    std::uint64_t m_false_deaths = 0; ///< Changes from alive to dead of hosts that ran.
    std::uint64_t m_datagrams = 0;
};

/// The naive version: every host sends a heartbeat to every other in each round, and one that was
/// not heard for `timeout_rounds` is dead. All hosts run; `loss` of the datagrams do not come.
inline naive_outcome run_naive_membership(std::size_t hosts, std::size_t rounds,
                                          std::size_t timeout_rounds, double loss,
                                          std::uint64_t seed)
{
    random_engine random{seed};
    std::vector<std::size_t> silent_rounds(hosts * hosts);
    naive_outcome outcome;
    for (std::size_t round = 0; round < rounds; ++round) {
        for (std::size_t way = 0; way < hosts * hosts; ++way) {
            if (way / hosts == way % hosts) {
                continue;
            }
            ++outcome.m_datagrams;
            const bool is_heard = uniform_fraction(random) >= loss;
            silent_rounds[way] = is_heard ? 0 : silent_rounds[way] + 1;
            outcome.m_false_deaths += silent_rounds[way] == timeout_rounds ? 1 : 0;
        }
    }
    return outcome;
}

} // namespace chivevane::test
