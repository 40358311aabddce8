#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/reducer_context.h"

#include <memory>

/// Maintains the documents in force, the index of their API keys, and the digests by which hosts
/// compare documents.
namespace chivevane::configuration {

/// Puts `stored` in force if it is newer than the document of the same name in force and can be
/// parsed. `parsed_document`, if given, is the result of parsing `stored`. Returns whether it came
/// in force.
bool put_in_force(configuration_state& state, reducer_context& context, stored_document stored,
                  std::shared_ptr<const document> parsed_document = nullptr);

/// Returns the revision of `stored` in the form that hosts exchange.
document_revision revision_of(const stored_document& stored);

/// Whether `theirs` is newer than the document of that name in force, or there is none.
bool is_newer(const configuration_state& state, const document_revision& theirs);

/// Returns the group of a document in the comparison by group digests.
std::size_t group_of(std::string_view name);

} // namespace chivevane::configuration
