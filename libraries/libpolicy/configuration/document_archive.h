#pragma once

#include "libdocument/document.h"
#include "libwire/wire_archive.h"

#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>

/// Serialization of parsed documents for `wire_output_archive` and `wire_input_archive`, found by
/// cereal. A change of a function here, or of a member's type, needs another `parsed_document_mark`
/// in document_transfer.cpp.
namespace chivevane {

template <typename Archive>
void serialize(Archive& archive, api_key& key)
{
    archive(key.m_name, key.m_digest);
}

template <typename Archive>
void serialize(Archive& archive, organisation& owner)
{
    archive(owner.m_name, owner.m_rate, owner.m_burst, owner.m_keys, owner.m_priority);
}

template <typename Archive>
void serialize(Archive& archive, service_policy& service)
{
    archive(service.m_name, service.m_floor, service.m_cold_rate, service.m_health_path);
}

template <typename Archive>
void serialize(Archive& archive, route_target& target)
{
    archive(target.m_service, target.m_weight);
}

template <typename Archive>
void serialize(Archive& archive, route& entry)
{
    archive(entry.m_name, entry.m_host, entry.m_path_prefix, entry.m_methods, entry.m_service,
            entry.m_access, entry.m_timeout, entry.m_attempts, entry.m_hedging, entry.m_targets,
            entry.m_idempotence, entry.m_priority, entry.m_latency_target);
}

template <typename Archive>
void serialize(Archive& archive, caller_limits& limits)
{
    // The sizes are 64 bits wide on all hosts, whatever std::size_t is.
    auto head_bytes = static_cast<std::uint64_t>(limits.m_head_bytes);
    auto body_bytes = static_cast<std::uint64_t>(limits.m_body_bytes);
    archive(head_bytes, body_bytes, limits.m_head_timeout, limits.m_idle_timeout);
    limits.m_head_bytes = static_cast<std::size_t>(head_bytes);
    limits.m_body_bytes = static_cast<std::size_t>(body_bytes);
}

template <typename Archive>
void serialize(Archive& archive, document& parsed_document)
{
    archive(parsed_document.m_name, parsed_document.m_organisations, parsed_document.m_services,
            parsed_document.m_routes, parsed_document.m_datacentres_out,
            parsed_document.m_caller_limits);
}

} // namespace chivevane
