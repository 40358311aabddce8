#include "platform/operator_store.h"

#include "platform/base64.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace chivevane::platform::test {

namespace {

using nlohmann::json;

/// Returns the value of a parameter in the query of `target`.
std::string_view parameter(std::string_view target, std::string_view name)
{
    const auto found = target.find(std::string{name} + "=");
    const auto value = target.substr(found + name.size() + 1);
    return value.substr(0, value.find('&'));
}

std::uint64_t number_in(std::string_view target, std::string_view name)
{
    const auto text = parameter(target, name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

void operator_store::put(const std::string& key, const std::string& value)
{
    const auto revision = ++m_content.m_revision;
    m_content.m_items[key] = {value, revision};
    m_content.m_history.push_back({key, value, revision, false});
}

void operator_store::remove(const std::string& key)
{
    if (m_content.m_items.erase(key) != 0) {
        m_content.m_history.push_back({key, {}, ++m_content.m_revision, true});
    }
}

void operator_store::go_away()
{
    m_is_away = true;
    for (const auto& watch : std::exchange(m_watches, {})) {
        watch.m_handlers.m_on_end(transfer_end::connection_lost, "cut");
    }
}

void operator_store::come_back_from(content copy)
{
    m_content = std::move(copy);
    ++m_era;
    m_is_away = false;
}

void operator_store::run(const outgoing_request& request, transfer_handlers handlers, instant now)
{
    if (m_is_away) {
        handlers.m_on_end(transfer_end::connect_failed, "away");
        return;
    }
    const std::string_view target = request.m_head.m_target;
    const auto prefix = parameter(target, "prefix");
    if (!target.starts_with("/chivevane/kv-watch")) {
        answer(handlers, 200, items(prefix));
        return;
    }
    const auto after = number_in(target, "after");
    if (after > m_content.m_revision) {
        answer(handlers, 410, {});
        return;
    }
    const std::chrono::milliseconds wait{number_in(target, "wait-ms")};
    m_watches.push_back({std::string{prefix}, after, now + wait, std::move(handlers)});
    answer_watches(now);
}

void operator_store::answer_watches(instant now)
{
    std::vector<waiting_watch> waiting;
    for (auto& watch : std::exchange(m_watches, {})) {
        const auto body = events(watch);
        if (body.empty() && now < watch.m_until) {
            waiting.push_back(std::move(watch));
            continue;
        }
        const json nothing{{"events", json::array()}, {"as-of", m_content.m_revision}};
        answer(watch.m_handlers, 200, body.empty() ? nothing.dump() : body);
    }
    for (auto& watch : waiting) {
        m_watches.push_back(std::move(watch));
    }
}

void operator_store::answer(const transfer_handlers& handlers, std::uint16_t status,
                            const std::string& body) const
{
    response_head head{status, {}};
    if (m_names_era) {
        head.m_fields.push_back({"Store-Era", std::to_string(m_era)});
    }
    handlers.m_on_head(head);
    handlers.m_on_body(body);
    handlers.m_on_end(transfer_end::complete, {});
}

/// Returns the answer to a watch; empty if there is no change to report.
std::string operator_store::events(const waiting_watch& watch) const
{
    auto found = json::array();
    for (const auto& change : m_content.m_history) {
        if (change.m_revision <= watch.m_after || !change.m_key.starts_with(watch.m_prefix)) {
            continue;
        }
        json event{{"key", change.m_key}, {"rev", change.m_revision}};
        if (change.m_is_removal) {
            event["removed"] = true;
        }
        else {
            event["value"] = to_base64(change.m_value);
        }
        found.push_back(std::move(event));
    }
    return found.empty() ? std::string{}
                         : json{{"events", found}, {"as-of", m_content.m_revision}}.dump();
}

std::string operator_store::items(std::string_view prefix) const
{
    auto found = json::array();
    for (const auto& [key, item] : m_content.m_items) {
        if (key.starts_with(prefix)) {
            found.push_back(
                {{"key", key}, {"value", to_base64(item.m_value)}, {"rev", item.m_revision}});
        }
    }
    return json{{"items", found}, {"has-more", false}, {"as-of", m_content.m_revision}}.dump();
}

} // namespace chivevane::platform::test
