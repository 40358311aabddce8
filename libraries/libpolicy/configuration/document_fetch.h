#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/reducer_context.h"

#include <string>

/// Fetches of documents from peers that announced a newer revision.
namespace chivevane::configuration {

/// Fetches a document from a peer. While a fetch of the same or a newer revision is pending, the
/// peer is only remembered as an alternative.
void fetch(configuration_state& state, reducer_context& context, const document_source& source,
           const document_revision& wanted);

/// Schedules a fetch of `wanted` from another data centre. A newer revision keeps the due time of
/// the one that it replaces, so that rapid changes do not postpone each other.
void defer_fetch(configuration_state& state, reducer_context& context, const host_address& address,
                 const document_revision& wanted);

/// Starts the delayed fetches that are due and whose documents are still newer than those in force.
void start_deferred_fetches(configuration_state& state, reducer_context& context);

/// Fetches documents from further peers where the peer that was asked does not answer in time.
void ask_alternatives(configuration_state& state, reducer_context& context);

/// Fetches the document from another peer that announced it, if the last fetch went to `from`.
void on_fetch_failed(configuration_state& state, reducer_context& context, const std::string& name,
                     const host_address& from);

/// Returns when `ask_alternatives` has to be called; `instant::max()` if nothing is pending.
instant next_alternative_due(const configuration_state& state);

} // namespace chivevane::configuration
