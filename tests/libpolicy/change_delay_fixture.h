#pragma once

#include "libpolicy/fleet_fixture.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Fleets whose documents are written by somebody else than the hosts, and how late changes are in
/// them.
namespace chivevane::test::control {

extern const std::string document_name;

/// Creates hosts with the settings of platform/settings.yaml.template, none of them running yet.
fleet make_platform_fleet(std::size_t host_count, std::uint64_t seed, duration propagation_limit);

/// Writes a new revision to the store without any host taking part.
void publish(fleet& hosts, std::uint64_t revision);

/// Writes a revision with as many routes and organisations as the largest deployments have, with
/// its parsed form, as the adapter to the platform does.
void publish_long_document(fleet& hosts, std::uint64_t revision);

/// Returns the running hosts that are watchers in their own view.
std::vector<std::size_t> watchers(const fleet& hosts);

/// Whether a host runs and has an older revision than `revision`.
bool is_late(const fleet& hosts, std::size_t host, std::uint64_t revision);

/// Returns the number of hosts that are late.
std::size_t count_late(const fleet& hosts, std::uint64_t revision);

} // namespace chivevane::test::control
