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

/// One request under way by libcurl. It stays where it is, since libcurl keeps its address.
struct curl_transfer {
    std::uint64_t m_id = 0;
    outgoing_request m_request;
    transfer_handlers m_handlers;
    easy_handle m_easy;
    curl_list m_fields;
    std::size_t m_sent = 0;   ///< Bytes of the request body handed to libcurl.
    int m_times_sent = 0;     ///< How often libcurl began to send the request.
    response_head m_head;     ///< Being read.
    bool m_has_head = false;  ///< The final head is complete.
    bool m_is_paused = false; ///< The reader has asked to wait.
    instant m_last_progress;  ///< Last byte of the body, or end of a pause.
};

/// Prepares a request with libcurl's options and callbacks set.
std::unique_ptr<curl_transfer> make_curl_transfer(std::uint64_t id, outgoing_request request,
                                                  transfer_handlers handlers);

/// The transfer that a handle of libcurl belongs to.
const curl_transfer& transfer_of(CURL* easy);

/// What the end that libcurl reports means for the request.
transfer_end end_of(const curl_transfer& item, CURLcode code);

} // namespace chivevane
