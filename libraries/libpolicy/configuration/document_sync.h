#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/membership/membership_state.h"
#include "libpolicy/reducer_context.h"

/// Synchronisation of documents between hosts: hosts compare digests and revisions, fetch newer
/// documents, and confirm to each other that theirs are up to date.
namespace chivevane::configuration {

/// Compares the digest of `peer` with this host's. Equal digests confirm the documents in force;
/// otherwise this host requests the peer's revisions.
void compare_digest(configuration_state& state, reducer_context& context, const std::string& peer,
                    const host_address& address, std::uint32_t digest);

/// Answers with the revisions of all documents in the groups whose digests differ.
void answer_revisions_request(const configuration_state& state, reducer_context& context,
                              const document_revisions_request& request);

/// Fetches the documents that are newer on the peer, and confirms the documents in force if none
/// is. A fetch from a peer in another data centre is delayed, unless this host is not ready yet,
/// and omitted if the document comes in force from elsewhere before it is due.
void handle_revisions(configuration_state& state, reducer_context& context, const std::string& peer,
                      const host_address& address, peer_locality locality,
                      const document_revisions& revisions);

/// Announces documents that came in force to peers.
void send_announcements(configuration_state& state, reducer_context& context,
                        const membership_state& members);

/// Makes this host ready without the store if enough peers have no newer documents.
void check_readiness(configuration_state& state, reducer_context& context,
                     const membership_state& members);

} // namespace chivevane::configuration
