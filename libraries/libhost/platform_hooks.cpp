#include "libhost/platform_hooks.h"

#include "libhost/announcement.h"
#include "libstore/http_store.h"

#include <memory>
#include <vector>

namespace chivevane {

namespace {

announcement_answer read_native_announcement(const received_request& request)
{
    auto announcement = parse_announcement(*request.m_body);
    if (is_error(announcement)) {
        return {{}, {400, {}}, describe(error_of(announcement))};
    }
    return {{value_of(std::move(announcement))}, {204, {}}, {}};
}

store_runner make_native_store(http_client& client, const daemon_settings& settings)
{
    std::vector<store_address> addresses;
    for (const auto& endpoint : settings.m_store_endpoints) {
        addresses.push_back({endpoint.m_ip, endpoint.m_port});
    }
    return [store = std::make_shared<http_store>(client, std::move(addresses))](
               const store_operation& operation, std::function<void(store_outcome)> on_outcome) {
        store->run(operation, std::move(on_outcome));
    };
}

} // namespace

platform_hooks native_hooks()
{
    platform_hooks hooks;
    hooks.m_read_caller_request = [](request_head head) { return head; };
    hooks.m_write_caller_answer = [](const request_head&, response_head head) { return head; };
    hooks.m_write_upstream_request = [](request_head head) { return head; };
    hooks.m_read_upstream_answer = [](const request_head&, response_head head) {
        return std::optional{std::move(head)};
    };
    hooks.m_read_health_answer = [](response_head head) { return head; };
    hooks.m_read_announcement = read_native_announcement;
    hooks.m_make_store = make_native_store;
    return hooks;
}

} // namespace chivevane
