#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/context.h"
#include "libpolicy/membership/membership_state.h"

/// How hosts bring each other up to date and vouch for each other's documents.
namespace chivevane::configuration {

/// Compares the digest that `peer` tells with this host's: agreement confirms the documents in
/// force, difference makes this host ask for the peer's revisions.
void compare_digest(configuration_state& state, context& surroundings, const std::string& peer,
                    const host_address& address, std::uint32_t digest);

/// Answers with the revisions of all documents in the groups that differ.
void answer_question(const configuration_state& state, context& surroundings,
                     const document_question& question);

/// Fetches what is newer at the peer, and confirms the documents in force if nothing is. What a
/// peer of another data centre has is fetched a moment later, unless one of this data centre is
/// heard to have it first.
void take_revisions(configuration_state& state, context& surroundings, const std::string& peer,
                    const host_address& address, peer_place place,
                    const document_revisions& revisions);

/// Fetches from other data centres what no peer of this one was heard to have.
void begin_deferred_fetches(configuration_state& state, context& surroundings);

/// Tells peers of documents that came in force.
void send_announcements(configuration_state& state, context& surroundings,
                        const membership_state& members);

/// Decides without the store whether enough peers were heard to rely on the documents in force.
void check_readiness(configuration_state& state, context& surroundings,
                     const membership_state& members);

} // namespace chivevane::configuration
