#pragma once

#include "libbase/instant.h"
#include "libwire/host_address.h"
#include "libwire/host_identity.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chivevane {

/// How an ingress distributes attempts over the upstreams of a service.
enum class placement_mode : std::uint8_t {
    weighted, ///< At random, weighted by the capacity and health that all hosts report.
    probing,  ///< Tries gates in turn, those of its own data centre first; see placement.h.
};

/// What a host does if neither the store nor another host has confirmed its documents for some
/// seconds.
enum class unconfirmed_documents_policy : std::uint8_t {
    refuse, ///< It refuses all requests, as a key may have been withdrawn.
    serve,  ///< It serves requests by the documents that it has.
};

/// How a gate chooses what it queues and what it refuses when there is more work than the upstream
/// can run.
enum class overload_policy : std::uint8_t {
    priority,   ///< In order of priority and arrival; an attempt that is queued keeps its place.
    least_cost, ///< Work that would be late or costs more gives way to other work; see
                ///< load_shedding.h.
    least_cost_if_learned, ///< `least_cost` for upstreams whose concurrency limit is learned,
                           ///< `priority` for those with a configured start rate.
};

/// Whether the priority of a route ranks requests of the same organisation priority. Without ranks
/// the priority of an organisation replaces that of the route.
enum class route_ranking : std::uint8_t {
    off,
    if_learned, ///< For services without a configured start rate, whose concurrency is learned.
};

/// How the rate limit of an organisation is enforced over all hosts.
enum class rate_mode : std::uint8_t {
    exact,   ///< Hosts lease shares of the limit, which is never exceeded; see limits.h.
    metered, ///< One host for each organisation limits the requests of all hosts; see metering.h.
};

/// The interval and the fan-out of gossip and other messages between hosts.
struct gossip_settings {
    duration m_round_interval = 500ms;       ///< Interval between two gossip rounds.
    std::uint32_t m_gossip_fanout = 3;       ///< Hosts that receive gossip in each round.
    std::uint32_t m_probe_fanout = 4;        ///< Hosts probed in each round.
    std::uint32_t m_crash_report_sends = 10; ///< Copies of a crash report, as some get lost.
    std::uint32_t m_contact_fanout = 4;      ///< Hosts contacted at once by a host without peers.
    duration m_max_start_delay = 1s; ///< Longest random delay before a host that starts reads
                                     ///< its documents from the store.

    bool operator==(const gossip_settings&) const = default;
};

/// The retry budget of each service over all hosts. A retry is any attempt of a request after its
/// first one.
struct retry_limits {
    double m_share = 0.08;  ///< Retries allowed for each request.
    double m_reserve = 330; ///< Retries that may come in one burst after a time without retries.

    bool operator==(const retry_limits&) const = default;
};

/// How many requests a cold upstream can take in any one second: `m_factor` times the rate that a
/// document states, plus `m_slack`.
struct cold_tolerance {
    double m_factor = 1.4;
    double m_slack = 0; ///< Requests.

    bool operator==(const cold_tolerance&) const = default;
};

/// The settings that the reducer depends on. The settings of the process around it are kept apart.
struct host_settings {
    host_identity m_self;
    std::string m_datacentre;
    host_address m_address;
    std::vector<host_address> m_seeds; ///< Hosts to contact while the store is unavailable.
    std::string m_shared_secret;       ///< Authenticates hosts to each other.
    std::uint64_t m_random_seed = 1;
    duration m_shutdown_limit = 30s; ///< Longest time from the request to shut down until the end.

    /// Duration of each watch of the store. It bounds how long changes go unnoticed after the
    /// connection to the store fails silently.
    duration m_watch_timeout = 3s;

    /// Time within which a change of a document has to be in force on all hosts that work normally.
    /// A watcher that the store does not answer is replaced in a part of it.
    duration m_propagation_limit = 18s;

    /// The first part of `m_shutdown_limit`, in which the host still takes requests.
    duration m_shutdown_notice_period{};

    std::string m_service; ///< The service of the upstream on this host; empty if not configured.
    placement_mode m_placement = placement_mode::weighted;
    unconfirmed_documents_policy m_unconfirmed_documents_policy =
        unconfirmed_documents_policy::refuse;
    rate_mode m_rate_mode = rate_mode::exact;
    overload_policy m_overload = overload_policy::priority;
    route_ranking m_route_ranking = route_ranking::off;
    gossip_settings m_gossip;
    retry_limits m_retries;

    /// Requests of one organisation that may start beyond its rate and burst if the rate is
    /// metered.
    double m_rate_slack = 0;
    cold_tolerance m_cold_tolerance;
};

} // namespace chivevane
