#include "libhost/listener_options.h"

#include "libdocument/parse_document.h"
#include "libpolicy/refusal.h"
#include "libwire/attempt_metadata.h"

#include <algorithm>
#include <limits>
#include <sys/resource.h>
#include <utility>

namespace chivevane {

namespace {

/// The descriptors of a process whose limit cannot be read or is unlimited.
constexpr std::size_t assumed_descriptors = 1'024;
constexpr std::size_t max_descriptors = 1'048'576;

/// The parts of the descriptors that the small listeners may use. The rest, without the shares of
/// callers and the gate, is for connections to upstreams, hosts and the store. The readiness
/// listener has the largest part, since a check waits while slow senders use all its connections.
constexpr std::size_t readiness_divisor = 12;
constexpr std::size_t small_listener_divisor = 64;
constexpr std::size_t min_small_connections = 8;

/// The part of the descriptors that bounds the requests in progress while callers send further ones
/// ahead, and those that run on an upstream. 100 connections with 8 requests each would take all
/// 512 descriptors of a small process.
constexpr std::size_t in_progress_divisor = 16;

/// A connection of the administration API may hold twice the size of a document, as RESTinio reads
/// longer bodies to answer them. Its memory is outside the budget.
constexpr std::size_t max_admin_connections = 4;

constexpr std::size_t max_announcement_size = 64 * 1024;
constexpr std::size_t max_announcement_fields = 64;
constexpr std::size_t max_announcement_field_size = 4 * 1024;

constexpr std::size_t max_probe_body_size = 4 * 1024;
constexpr std::size_t max_probe_fields = 32;
constexpr std::size_t max_probe_field_size = 1024;
constexpr std::size_t max_probe_field_name_size = 128;

/// The time to receive a whole probe, which is sent in one piece. Slow senders thus hold their
/// connections only briefly.
constexpr duration probe_read_time = 1s;
constexpr duration probe_write_time = 5s;

http_server_options common_options(const daemon_settings& settings, std::uint16_t port)
{
    http_server_options options;
    options.m_ip = settings.m_listen_ip;
    options.m_port = port;
    options.m_max_head_size = settings.m_max_head_size;
    options.m_max_body_size = settings.m_max_body_size;
    return options;
}

std::size_t part_of(std::size_t descriptors, std::size_t divisor)
{
    return std::max(descriptors / divisor, min_small_connections);
}

/// Returns the options of a listener whose requests have no body.
http_server_options probe_options(const daemon_settings& settings, std::uint16_t port,
                                  std::size_t max_connections)
{
    auto options = common_options(settings, port);
    if (settings.m_memory_limit_mb != 0) {
        options.m_max_head_size = max_probe_field_size;
        options.m_max_field_count = max_probe_fields;
        options.m_max_field_name_size = max_probe_field_name_size;
        options.m_max_body_size = max_probe_body_size;
        options.m_max_connections = max_connections;
        options.m_idle_timeout = probe_read_time;
        options.m_write_timeout = probe_write_time;
        options.m_closes_after_answer = true;
    }
    return options;
}

traffic_server_options traffic_options(const daemon_settings& settings, std::uint16_t port,
                                       std::size_t max_connections,
                                       std::shared_ptr<memory_budget> memory)
{
    traffic_server_options options;
    options.m_ip = settings.m_listen_ip;
    options.m_port = port;
    options.m_limits = {settings.m_max_head_size, settings.m_max_body_size};
    options.m_max_connections = settings.m_memory_limit_mb == 0 ? 0 : max_connections;
    options.m_memory = std::move(memory);
    return options;
}

/// Returns the fields by which an ingress recognises that its attempt was not run.
std::vector<http_field> refused_attempt_fields(const request_head& head)
{
    const auto attempt = find_field(head.m_fields, attempt_field);
    if (!attempt) {
        return {};
    }
    return {{std::string{attempt_field}, std::string{*attempt}},
            {std::string{execution_status_field}, "not-run"},
            {std::string{reason_field}, std::string{to_string(refusal_kind::busy)}}};
}

} // namespace

std::size_t open_file_limit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return assumed_descriptors;
    }
    return std::min(static_cast<std::size_t>(limit.rlim_cur), max_descriptors);
}

traffic_server_options caller_options(const daemon_settings& settings, std::size_t descriptors,
                                      std::shared_ptr<memory_budget> memory)
{
    auto options = traffic_options(settings, settings.m_policy.m_address.m_caller_port,
                                   descriptors / 2, std::move(memory));
    if (settings.m_memory_limit_mb != 0) {
        options.m_max_pipelining_requests = part_of(descriptors, in_progress_divisor);
    }
    return options;
}

traffic_server_options gate_options(const daemon_settings& settings, std::size_t descriptors,
                                    std::shared_ptr<memory_budget> memory)
{
    auto options = traffic_options(settings, settings.m_policy.m_address.m_gate_port,
                                   descriptors / 4, std::move(memory));
    options.m_refusal_fields = refused_attempt_fields;
    return options;
}

std::uint32_t max_upstream_slots(const daemon_settings& settings, std::size_t descriptors)
{
    return settings.m_memory_limit_mb == 0
               ? std::numeric_limits<std::uint32_t>::max()
               : static_cast<std::uint32_t>(part_of(descriptors, in_progress_divisor));
}

http_server_options admin_options(const daemon_settings& settings)
{
    auto options = common_options(settings, settings.m_policy.m_address.m_admin_port);
    options.m_max_body_size = std::max(options.m_max_body_size, max_document_size);
    if (settings.m_memory_limit_mb != 0) {
        // No request needs a longer body, and the listener has no part in the memory budget.
        options.m_max_body_size = max_document_size;
        options.m_max_connections = max_admin_connections;
    }
    return options;
}

http_server_options announcement_options(const daemon_settings& settings, std::size_t descriptors)
{
    auto options = common_options(settings, settings.m_announce_port);
    if (settings.m_memory_limit_mb != 0) {
        options.m_max_head_size = max_announcement_field_size;
        options.m_max_field_count = max_announcement_fields;
        options.m_max_body_size = max_announcement_size;
        options.m_max_connections = part_of(descriptors, small_listener_divisor);
    }
    return options;
}

http_server_options readiness_options(const daemon_settings& settings, std::size_t descriptors)
{
    return probe_options(settings, settings.m_readiness_port,
                         part_of(descriptors, readiness_divisor));
}

http_server_options metrics_options(const daemon_settings& settings, std::size_t descriptors)
{
    return probe_options(settings, settings.m_metrics_port,
                         part_of(descriptors, small_listener_divisor));
}

} // namespace chivevane
