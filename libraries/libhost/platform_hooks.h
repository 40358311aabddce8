#pragma once

#include "libhttp/http_client.h"
#include "libhttp/received_request.h"
#include "libpolicy/gate/gate_events.h"
#include "libsettings/daemon_settings.h"
#include "libwire/request_head.h"
#include "libwire/response_head.h"
#include "libwire/store_operation.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chivevane {

/// Runs one operation on the platform's store. The callback is called once with the outcome.
using store_runner =
    std::function<void(const store_operation&, std::function<void(store_outcome)>)>;

/// The content of an upstream's announcement and the HTTP answer to it.
struct announcement_answer {
    /// Empty if the announcement has no usable content.
    std::vector<upstream_announcement> m_announcements;
    response_head m_head;
    std::string m_body;
};

/// Adapts the interfaces of this program to those of a platform. Each function only translates
/// between the two and makes no decisions. `native_hooks` returns the hooks for the program's own
/// interface, which docs/API.md describes.
struct platform_hooks {
    /// Translates the head of a caller's request to the program's own header fields.
    std::function<request_head(request_head)> m_read_caller_request;

    /// Translates the head of an answer to a caller from the program's own header fields. `request`
    /// is the head that `m_read_caller_request` returned.
    std::function<response_head(const request_head& request, response_head)> m_write_caller_answer;

    /// Translates the head of a request to an upstream from the program's own header fields.
    std::function<request_head(request_head)> m_write_upstream_request;

    /// Translates the head of an upstream's answer to the program's own header fields. `request` is
    /// the head that was passed to `m_write_upstream_request`. Returns nothing if the answer does
    /// not belong to that request.
    std::function<std::optional<response_head>(const request_head& request, response_head)>
        m_read_upstream_answer;

    /// Translates the head of an upstream's answer to a health check to the program's own header
    /// fields.
    std::function<response_head(response_head)> m_read_health_answer;

    std::function<announcement_answer(const received_request&)> m_read_announcement;

    std::function<store_runner(http_client&, const daemon_settings&)> m_make_store;
};

/// Returns the hooks for the program's own interface, which pass all heads through unchanged.
platform_hooks native_hooks();

} // namespace chivevane
