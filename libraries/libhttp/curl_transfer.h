#pragma once

#include "libbase/instant.h"
#include "libhttp/outgoing_request.h"

#include <curl/curl.h>
#include <memory>

namespace chivevane {

struct curl_list_deleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using curl_list = std::unique_ptr<curl_slist, curl_list_deleter>;

struct easy_deleter {
    void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
using easy_handle = std::unique_ptr<CURL, easy_deleter>;

/// One request that libcurl is carrying out. The object must not move in memory, since libcurl
/// holds a pointer to it.
struct curl_transfer {
    std::uint64_t m_id = 0;
    outgoing_request m_request;
    transfer_handlers m_handlers;
    easy_handle m_easy;
    curl_list m_fields;
    std::size_t m_body_bytes_sent = 0; ///< The bytes of the request body passed to libcurl.
    int m_send_count = 0;     ///< The number of times that libcurl began to send the request.
    response_head m_head;     ///< The answer's head, which may be incomplete.
    bool m_has_head = false;  ///< Whether the head of the final answer is complete.
    bool m_is_paused = false; ///< Whether `m_on_body` returned `body_flow::pause`.
    /// The time when the head was complete, the last body bytes arrived or the last pause ended.
    instant m_last_progress;
};

/// Creates a libcurl handle for a request and sets its options and callbacks.
std::unique_ptr<curl_transfer> make_curl_transfer(std::uint64_t id, outgoing_request request,
                                                  transfer_handlers handlers);

/// Returns the transfer that a libcurl handle belongs to.
const curl_transfer& transfer_of(CURL* easy);

/// Converts libcurl's result for a transfer to a `transfer_end`.
transfer_end end_of(const curl_transfer& transfer, CURLcode code);

} // namespace chivevane
