#pragma once

#include "libhttp/http_client.h"
#include "libhttp/received_request.h"
#include "libpolicy/gate/gate_events.h"
#include "libsettings/node_settings.h"
#include "libwire/request_head.h"
#include "libwire/response_head.h"
#include "libwire/store_operation.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chivevane {

/// Runs one operation on the platform's store; the callback is called once.
using store_runner =
    std::function<void(const store_operation&, std::function<void(store_outcome)>)>;

/// What an upstream's announcement says and how it is answered.
struct announcement_answer {
    std::vector<upstream_announced> m_news; ///< Empty if it names nothing to use.
    response_head m_head;
    std::string m_body;
};

/// Where a platform speaks otherwise than this program. Each function translates and decides
/// nothing; `native_hooks` gives the program's own interface as docs/API.md describes it.
struct platform_hooks {
    /// A caller's request into the program's own fields.
    std::function<request_head(request_head)> m_read_caller_request;

    /// The head of an answer to a caller; `request` is what `m_read_caller_request` gave.
    std::function<response_head(const request_head& request, response_head)> m_write_caller_answer;

    /// A request for an upstream, from the program's own fields.
    std::function<request_head(request_head)> m_write_upstream_request;

    /// The head of an upstream's answer into the program's own fields; `request` is what
    /// `m_write_upstream_request` took. Empty if it is no answer to that request.
    std::function<std::optional<response_head>(const request_head& request, response_head)>
        m_read_upstream_answer;

    /// The head of an upstream's answer to a health check into the program's own fields.
    std::function<response_head(response_head)> m_read_health_answer;

    std::function<announcement_answer(const received_request&)> m_read_announcement;

    std::function<store_runner(http_client&, const node_settings&)> m_make_store;
};

/// The program's own interface.
platform_hooks native_hooks();

} // namespace chivevane
