#pragma once

#include "libbase/random_engine.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chivevane::test {

/// What the naive membership protocol did in a run.
struct naive_outcome {
    std::uint64_t m_false_deaths = 0; ///< Changes of running hosts from alive to dead.
    std::uint64_t m_datagrams = 0;
};

/// Simulates the naive membership protocol, the baseline for comparison: in each round every host
/// sends a heartbeat to every other one, and counts a host as dead whose heartbeats are missing for
/// `timeout_rounds`. All hosts run, and the share `loss` of the datagrams is lost.
inline naive_outcome run_naive_membership(std::size_t hosts, std::size_t rounds,
                                          std::size_t timeout_rounds, double loss,
                                          std::uint64_t seed)
{
    random_engine random{seed};
    std::vector<std::size_t> silent_rounds(hosts * hosts);
    naive_outcome outcome;
    for (std::size_t round = 0; round < rounds; ++round) {
        for (std::size_t path = 0; path < hosts * hosts; ++path) {
            if (path / hosts == path % hosts) {
                continue;
            }
            ++outcome.m_datagrams;
            const bool is_received = uniform_fraction(random) >= loss;
            silent_rounds[path] = is_received ? 0 : silent_rounds[path] + 1;
            outcome.m_false_deaths += silent_rounds[path] == timeout_rounds ? 1 : 0;
        }
    }
    return outcome;
}

} // namespace chivevane::test
