#pragma once

#include "libpolicy/reduce.h"

#include <map>
#include <string>
#include <vector>

namespace chivevane::test {

/// An in-memory store with compare-and-swap, leases and watches. It returns the answers for its
/// owner to deliver, and takes simulated time from it.
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

    /// Executes `call` and returns all answers that are due. A watch without changes waits.
    std::vector<answer> handle(std::size_t host, const call_store& call, instant now);

    /// Deletes the keys of expired leases, and answers the watches that have changes or timed out.
    std::vector<answer> expire(instant now);

    store_entries read(std::string_view prefix, std::uint64_t after = 0) const;
    store_outcome write(const store_compare_and_swap& wanted);

    std::map<std::string, entry> m_entries;
    /// Expiry time and length of each lease, by its id.
    std::map<std::uint64_t, std::pair<instant, duration>> m_leases;
    std::vector<waiting_watch> m_watches;
    std::uint64_t m_revision = 1;
    std::uint64_t m_last_lease = 0;
};

} // namespace chivevane::test
