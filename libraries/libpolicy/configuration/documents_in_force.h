#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/context.h"

#include <memory>

/// The documents in force, the index of their keys, and the digests by which hosts compare them.
namespace chivevane::configuration {

/// Puts `stored` in force unless that would go back. `rules` saves parsing when it is given.
/// Returns whether it came in force.
bool put_in_force(configuration_state& state, context& surroundings, stored_document stored,
                  std::shared_ptr<const document> rules = nullptr);

/// The revision of `stored` as hosts tell it each other.
document_revision revision_of(const stored_document& stored);

/// Whether `theirs` is to replace what this host has under that name.
bool is_newer(const configuration_state& state, const document_revision& theirs);

/// The group of a document for comparison by digest.
std::size_t group_of(std::string_view name);

} // namespace chivevane::configuration
