#include "libstore/http_store.h"

#include "libstore/store_json.h"

namespace chivevane {

namespace {

/// The store normally answers within milliseconds, so a slower one counts as unavailable.
constexpr duration call_timeout = 2s;
constexpr duration connect_timeout = 500ms;

/// The limit leaves room for 970 documents of moderate size. What exceeds it is dropped, so that
/// the body fails to decode.
constexpr std::size_t max_response_bytes = 64 * 1024 * 1024;

/// A response that is being received.
struct pending_response {
    std::uint16_t m_status = 0;
    std::string m_body;
};

duration timeout_of(const store_operation& operation)
{
    const auto* const watch = std::get_if<store_watch>(&operation);
    return watch == nullptr ? call_timeout : watch->m_timeout + call_timeout;
}

store_outcome outcome_of(transfer_end end, const pending_response& response,
                         const std::string& detail)
{
    if (end == transfer_end::connect_failed) {
        return store_failure{store_failure_kind::not_done, detail};
    }
    if (end != transfer_end::complete) {
        return store_failure{store_failure_kind::unknown, detail};
    }
    return decode_store_outcome(response.m_status, response.m_body);
}

} // namespace

http_store::http_store(http_client& client, std::vector<store_address> addresses)
    : m_client(client), m_addresses(std::move(addresses))
{
}

void http_store::run(const store_operation& operation,
                     std::function<void(store_outcome)> on_outcome)
{
    const auto text = encode_store_operation(operation);
    if (is_error(text) || m_addresses.empty()) {
        const auto detail =
            is_error(text) ? describe(error_of(text)) : "no store address in the settings";
        on_outcome(store_failure{store_failure_kind::not_done, detail});
        return;
    }
    ++m_calls;
    const auto& address = m_addresses[m_current_address];
    const auto& [target, body] = value_of(text);
    outgoing_request request;
    request.m_ip = address.m_ip;
    request.m_port = address.m_port;
    request.m_head = {"POST", target, {{"Content-Type", "application/json"}}};
    request.m_body = std::make_shared<const std::string>(body);
    request.m_connect_timeout = connect_timeout;
    request.m_total_timeout = timeout_of(operation);
    request.m_stall_timeout = request.m_total_timeout;

    auto response = std::make_shared<pending_response>();
    transfer_handlers handlers;
    handlers.m_on_head = [response](const response_head& head) {
        response->m_status = head.m_status;
    };
    handlers.m_on_body = [response](std::string_view part) {
        if (response->m_body.size() + part.size() <= max_response_bytes) {
            response->m_body += part;
        }
        return body_flow::ready;
    };
    handlers.m_on_end = [this, response, on_outcome = std::move(on_outcome)](
                            transfer_end end, const std::string& detail) {
        if (end != transfer_end::complete) {
            m_current_address = (m_current_address + 1) % m_addresses.size();
        }
        on_outcome(outcome_of(end, *response, detail));
    };
    m_client.start(m_client.make_transfer_id(), std::move(request), std::move(handlers));
}

} // namespace chivevane
