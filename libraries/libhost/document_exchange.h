#pragma once

#include "libhttp/http_client.h"
#include "libhttp/http_server.h"
#include "libpolicy/configuration/configuration_events.h"
#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/effect.h"

#include <functional>
#include <string>
#include <string_view>

namespace chivevane {

/// Whether a request on the gate port is a host's request for a document.
bool is_document_request(const request_head& head);

/// Answers a host's request for a document in force; both sides sign with the shared secret.
void answer_document_request(answer_port& server, const received_request& request,
                             const configuration_state& configuration, std::string_view secret);

/// Asks a host for its copy of a document; `on_answer` is called once.
void request_document(http_client& client, const fetch_document& order, std::string_view secret,
                      std::function<void(document_fetched)> on_answer);

} // namespace chivevane
