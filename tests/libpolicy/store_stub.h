#pragma once

#include "libpolicy/reduce.h"

#include <map>
#include <string>
#include <vector>

namespace chivevane::test {

/// An in-memory store with compare-and-swap, leases and watches. It answers through the queue of
/// its owner; time is made up.
struct store_stub {
    struct answer {
        std::size_t m_host = 0;
        store_response m_response;
    };
    struct waiting_watch {
        std::size_t m_host = 0;
        call_store m_call;
        instant m_until;
    };
    struct entry {
        store_entry m_entry;
        std::uint64_t m_revision = 0;
        std::uint64_t m_lease = 0;
    };

    /// Carries out `call`; watches that have nothing to tell yet wait. Returns all answers due.
    std::vector<answer> handle(std::size_t host, const call_store& call, instant now);

    /// Answers watches that are over and deletes the keys of lapsed leases.
    std::vector<answer> expire(instant now);

    store_entries read(std::string_view prefix, std::uint64_t after = 0) const;
    store_outcome write(const store_compare_and_swap& wanted);

    std::map<std::string, entry> m_entries;
    std::map<std::uint64_t, std::pair<instant, duration>> m_leases; ///< End and length by id.
    std::vector<waiting_watch> m_watches;
    std::uint64_t m_revision = 1;
    std::uint64_t m_last_lease = 0;
};

} // namespace chivevane::test
