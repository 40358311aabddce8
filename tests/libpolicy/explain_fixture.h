#pragma once

#include "libpolicy/explain/explain_request.h"
#include "libpolicy/host_fixture.h"

#include <string>
#include <string_view>
#include <vector>

namespace chivevane::test {

/// A host with upstreams on eight others in two data centres, whose state is random: what it
/// believes of the upstreams, its rate limits, and the requests that it has sent.
struct explain_fixture : host_fixture {
    explain_fixture(placement_mode placement, std::uint64_t seed);

    /// In a third of the cases, makes the host leave or not ready, or all gates full.
    void add_hindrance();

    /// A request in the form that callers send and in the form that is explained.
    struct sample_request {
        inbound_request m_inbound;
        explanation_query m_query;
    };

    /// Makes a random request with a new exchange id.
    sample_request make_request();

    /// Makes a request of the given method, path and key; no key if that is empty.
    sample_request make_request(std::string_view method, std::string_view target,
                                std::string_view key);

    /// Returns a number from 0 to `count` - 1.
    std::uint32_t pick(std::uint32_t count) { return m_choices(count); }

    request_explanation explain(const sample_request& request) const
    {
        return explain_request(m_host_state, m_now, request.m_query);
    }

    /// The upstreams of the service `tides` on the other hosts.
    std::vector<upstream_id> m_upstreams;
    random_engine m_choices;
    exchange_id m_last_exchange = 0;

private:
    void add_host(std::uint32_t number);
    void add_beliefs(const upstream_id& upstream);
    void add_full_queues();
    void add_suspects();
};

} // namespace chivevane::test
