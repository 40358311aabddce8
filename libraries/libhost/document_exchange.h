#pragma once

#include "libhttp/http_client.h"
#include "libhttp/http_server.h"
#include "libpolicy/configuration/configuration_events.h"
#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/effect.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

/// The exchange of documents in force between hosts. A host that accepts `application/zlib` gets
/// the compressed document with the parsed form (document_transfer.h), others the record.
namespace chivevane {

/// The latest compressed answer for each document. Many hosts ask for a new revision within a
/// moment.
struct document_answer_cache {
    struct entry {
        document_revision m_revision;
        std::string m_body;
    };
    std::map<std::string, entry, std::less<>> m_entries; ///< By the document's name.
};

/// Returns whether a request on the gate port is another host's request for a document, and not an
/// attempt to be run by an upstream.
bool is_document_request(const request_head& head);

/// Answers another host's request for a document in force. The request and the answer are signed
/// with the shared secret. An unsigned request and an unknown document are answered with 404.
void answer_document_request(answer_writer& server, const received_request& request,
                             const configuration_state& configuration, std::string_view secret,
                             document_answer_cache& cache);

/// Requests a document from the host that `command` names. `on_answer` is called once, without a
/// document if the host sends none, the answer is incomplete or its signature is wrong.
void request_document(http_client& client, const fetch_document& command, std::string_view secret,
                      std::function<void(document_fetched)> on_answer);

} // namespace chivevane
