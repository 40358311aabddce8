#pragma once

#include "libbase/instant.h"
#include "libwire/host_address.h"
#include "libwire/host_identity.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chivevane {

/// How an ingress spreads work over the upstreams of a service.
enum class placement_mode : std::uint8_t {
    weighted, ///< By the capacity that hosts tell each other, with evidence pooled from all hosts.
    probing,  ///< Asks gates in turn, those of its own data centre first; see placement.h.
};

/// What a host does whose rules nobody has confirmed for some seconds.
enum class stale_rules : std::uint8_t {
    refuse, ///< Takes no requests, as a key may have been withdrawn.
    serve,
};

/// How one rate is held over all hosts.
enum class rate_mode : std::uint8_t {
    exact,   ///< By shares and loans that never exceed it; see limits.h.
    metered, ///< By one host for each organisation that all others ask; see metering.h.
};

/// How often hosts tell each other what they know.
struct fleet_timing {
    duration m_round = 500ms;                ///< Between two rounds of gossip.
    std::uint32_t m_receivers = 3;           ///< Hosts told in a round.
    std::uint32_t m_probes = 4;              ///< Hosts probed in a round.
    std::uint32_t m_crash_report_sends = 10; ///< Copies of a report that may get lost.
    std::uint32_t m_contacts = 4;            ///< Hosts that one without peers contacts at once.
    duration m_start_spread = 1s;            ///< Over which hosts that start together read rules.

    bool operator==(const fleet_timing&) const = default;
};

/// How many attempts a service may get beyond the first of each request, over all hosts.
struct retry_limits {
    double m_share = 0.08;  ///< Of the requests.
    double m_reserve = 330; ///< Attempts that may come at once after a calm time.

    bool operator==(const retry_limits&) const = default;
};

/// What a cold upstream survives in any one second, given the rate that a document tells.
struct cold_tolerance {
    double m_factor = 1.4; ///< Times the rate.
    double m_slack = 0;    ///< Requests more.

    bool operator==(const cold_tolerance&) const = default;
};

/// The settings that decisions depend on. The shell's own settings are elsewhere.
struct host_settings {
    host_identity m_self;
    std::string m_datacentre;
    host_address m_address;
    std::vector<host_address> m_seeds; ///< Control addresses to try when the store is away.
    std::string m_shared_secret;       ///< Authenticates hosts to each other.
    std::uint64_t m_random_seed = 1;
    duration m_shutdown_limit = 30s; ///< Longest wait for requests in progress when leaving.
    /// Length of a watch of the store: bounds how long a connection that went silent hides changes.
    duration m_watch_timeout = 3s;
    duration m_shutdown_notice{}; ///< Part of it in which callers and hosts may still send work.
    std::string m_service;        ///< Of the upstream on this host; empty if it is not told.
    placement_mode m_placement = placement_mode::weighted;
    stale_rules m_stale_rules = stale_rules::refuse;
    rate_mode m_rate_mode = rate_mode::exact;
    fleet_timing m_timing;
    retry_limits m_retries;
    /// Requests of one organisation that may start beyond its rate and burst; for metered rates.
    double m_rate_slack = 0;
    cold_tolerance m_cold_tolerance;
};

} // namespace chivevane
