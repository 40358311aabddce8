#include "libdocument/diff_documents.h"

#include "libdocument/format_document.h"

#include <algorithm>
#include <fmt/format.h>
#include <unordered_map>

namespace chivevane {

namespace {

using change_list = std::vector<document_change>;

/// The items of both documents that have the same name. One of the pointers is null if the item
/// was added or removed.
template <typename Item>
struct matched_pair {
    const Item* m_before = nullptr;
    const Item* m_after = nullptr;
};

template <typename Item>
std::vector<matched_pair<Item>> match_by_name(const std::vector<Item>& before,
                                              const std::vector<Item>& after)
{
    std::unordered_map<std::string_view, std::size_t> indexes;
    std::vector<matched_pair<Item>> pairs;
    for (const auto& item : before) {
        indexes[item.m_name] = pairs.size();
        pairs.push_back({&item, nullptr});
    }
    for (const auto& item : after) {
        if (const auto found = indexes.find(item.m_name); found != indexes.end()) {
            pairs[found->second].m_after = &item;
        }
        else {
            pairs.push_back({nullptr, &item});
        }
    }
    return pairs;
}

/// Appends a change of one field if its value differs.
void compare(change_list& changes, change_subject subject, const std::string& name,
             std::string_view field, const std::string& before, const std::string& after)
{
    if (before != after) {
        changes.push_back({change_kind::changed, subject, name, std::string{field}, before, after});
    }
}

void compare(change_list& changes, change_subject subject, const std::string& name,
             std::string_view field, double before, double after)
{
    compare(changes, subject, name, field, fmt::format("{}", before), fmt::format("{}", after));
}

/// Appends the addition or the removal of a whole item.
void add_whole_item(change_list& changes, change_subject subject, const std::string& name,
                    const std::string& before, const std::string& after)
{
    const auto kind = before.empty() ? change_kind::added : change_kind::removed;
    changes.push_back({kind, subject, name, "", before, after});
}

std::string summary_of(const organisation* owner)
{
    if (owner == nullptr) {
        return "";
    }
    return fmt::format("{{rate: {}, burst: {}{}}}", owner->m_rate, owner->m_burst,
                       owner->m_priority ? fmt::format(", priority: {}", *owner->m_priority) : "");
}

std::string summary_of(const service_policy* service)
{
    return service == nullptr ? "" : fmt::format("{{{}}}", format_service(*service));
}

std::string summary_of(const route* entry)
{
    return entry == nullptr ? "" : format_route(*entry);
}

void diff_keys(change_list& changes, const std::string& owner, const std::vector<api_key>& before,
               const std::vector<api_key>& after)
{
    for (const auto& [old_key, new_key] : match_by_name(before, after)) {
        const auto name =
            fmt::format("{}/{}", owner, (old_key == nullptr ? new_key : old_key)->m_name);
        if (old_key == nullptr || new_key == nullptr) {
            add_whole_item(changes, change_subject::key, name,
                           old_key == nullptr ? "" : old_key->m_digest,
                           new_key == nullptr ? "" : new_key->m_digest);
            continue;
        }
        compare(changes, change_subject::key, name, "digest", old_key->m_digest, new_key->m_digest);
    }
}

std::string priority_text(const organisation& owner)
{
    return owner.m_priority ? std::to_string(*owner.m_priority) : "of the route";
}

void diff_organisations(change_list& changes, const document& before, const document& after)
{
    const std::vector<api_key> none;
    for (const auto& [old_item, new_item] :
         match_by_name(before.m_organisations, after.m_organisations)) {
        const auto& name = (old_item == nullptr ? new_item : old_item)->m_name;
        if (old_item == nullptr || new_item == nullptr) {
            add_whole_item(changes, change_subject::organisation, name, summary_of(old_item),
                           summary_of(new_item));
        }
        else {
            compare(changes, change_subject::organisation, name, "rate", old_item->m_rate,
                    new_item->m_rate);
            compare(changes, change_subject::organisation, name, "burst", old_item->m_burst,
                    new_item->m_burst);
            compare(changes, change_subject::organisation, name, "priority",
                    priority_text(*old_item), priority_text(*new_item));
        }
        diff_keys(changes, name, old_item == nullptr ? none : old_item->m_keys,
                  new_item == nullptr ? none : new_item->m_keys);
    }
}

void diff_services(change_list& changes, const document& before, const document& after)
{
    for (const auto& [old_item, new_item] : match_by_name(before.m_services, after.m_services)) {
        const auto& name = (old_item == nullptr ? new_item : old_item)->m_name;
        if (old_item == nullptr || new_item == nullptr) {
            add_whole_item(changes, change_subject::service, name, summary_of(old_item),
                           summary_of(new_item));
            continue;
        }
        compare(changes, change_subject::service, name, "floor", old_item->m_floor,
                new_item->m_floor);
        compare(changes, change_subject::service, name, "cold_rate", old_item->m_cold_rate,
                new_item->m_cold_rate);
        compare(changes, change_subject::service, name, "health_path", old_item->m_health_path,
                new_item->m_health_path);
    }
}

std::string join_methods(const route& entry)
{
    auto methods = entry.m_methods;
    std::sort(methods.begin(), methods.end());
    return methods.empty() ? "all" : fmt::format("{}", fmt::join(methods, " "));
}

std::string idempotence_text(route_idempotence idempotence)
{
    switch (idempotence) {
    case route_idempotence::idempotent:
        return "true";
    case route_idempotence::not_idempotent:
        return "false";
    case route_idempotence::by_method:
        break;
    }
    return "by method";
}

void diff_route(change_list& changes, const route& before, const route& after)
{
    constexpr auto subject = change_subject::route;
    const auto& name = before.m_name;
    const auto flag = [](bool is_set) { return std::string{is_set ? "true" : "false"}; };
    compare(changes, subject, name, "host", before.m_host, after.m_host);
    compare(changes, subject, name, "path_prefix", before.m_path_prefix, after.m_path_prefix);
    compare(changes, subject, name, "methods", join_methods(before), join_methods(after));
    compare(changes, subject, name, "service", before.m_service, after.m_service);
    compare(changes, subject, name, "targets", format_targets(before.m_targets),
            format_targets(after.m_targets));
    compare(changes, subject, name, "idempotent", idempotence_text(before.m_idempotence),
            idempotence_text(after.m_idempotence));
    compare(changes, subject, name, "priority", before.m_priority, after.m_priority);
    compare(changes, subject, name, "latency_target_ms",
            std::to_string(to_milliseconds(before.m_latency_target)),
            std::to_string(to_milliseconds(after.m_latency_target)));
    compare(changes, subject, name, "open_to_all",
            flag(before.m_access == route_access::open_to_all),
            flag(after.m_access == route_access::open_to_all));
    compare(changes, subject, name, "timeout_ms", std::to_string(to_milliseconds(before.m_timeout)),
            std::to_string(to_milliseconds(after.m_timeout)));
    compare(changes, subject, name, "attempts", std::to_string(before.m_attempts),
            std::to_string(after.m_attempts));
    compare(changes, subject, name, "hedging", flag(before.m_hedging == hedging::on),
            flag(after.m_hedging == hedging::on));
}

void diff_routes(change_list& changes, const document& before, const document& after)
{
    for (const auto& [old_item, new_item] : match_by_name(before.m_routes, after.m_routes)) {
        if (old_item == nullptr || new_item == nullptr) {
            add_whole_item(changes, change_subject::route,
                           (old_item == nullptr ? new_item : old_item)->m_name,
                           summary_of(old_item), summary_of(new_item));
            continue;
        }
        diff_route(changes, *old_item, *new_item);
    }
}

void diff_datacentres(change_list& changes, const document& before, const document& after)
{
    const auto lacks = [](const document& parsed_document, const std::string& name) {
        const auto& out = parsed_document.m_datacentres_out;
        return std::find(out.begin(), out.end(), name) == out.end();
    };
    for (const auto& name : before.m_datacentres_out) {
        if (lacks(after, name)) {
            add_whole_item(changes, change_subject::datacentre, name, "out", "");
        }
    }
    for (const auto& name : after.m_datacentres_out) {
        if (lacks(before, name)) {
            add_whole_item(changes, change_subject::datacentre, name, "", "out");
        }
    }
}

void diff_caller_limits(change_list& changes, const document& before, const document& after)
{
    const auto& old_limits = before.m_caller_limits;
    const auto& new_limits = after.m_caller_limits;
    const auto diff = [&](std::string_view field, std::int64_t old_value, std::int64_t new_value) {
        compare(changes, change_subject::document, "caller_limits", field,
                std::to_string(old_value), std::to_string(new_value));
    };
    diff("head_bytes", static_cast<std::int64_t>(old_limits.m_head_bytes),
         static_cast<std::int64_t>(new_limits.m_head_bytes));
    diff("body_bytes", static_cast<std::int64_t>(old_limits.m_body_bytes),
         static_cast<std::int64_t>(new_limits.m_body_bytes));
    diff("head_timeout_ms", to_milliseconds(old_limits.m_head_timeout),
         to_milliseconds(new_limits.m_head_timeout));
    diff("idle_timeout_ms", to_milliseconds(old_limits.m_idle_timeout),
         to_milliseconds(new_limits.m_idle_timeout));
}

} // namespace

std::string_view to_string(change_kind kind)
{
    switch (kind) {
    case change_kind::added:
        return "added";
    case change_kind::removed:
        return "removed";
    case change_kind::changed:
        return "changed";
    }
    return "invalid";
}

std::string_view to_string(change_subject subject)
{
    switch (subject) {
    case change_subject::document:
        return "document";
    case change_subject::organisation:
        return "organisation";
    case change_subject::key:
        return "key";
    case change_subject::service:
        return "service";
    case change_subject::route:
        return "route";
    case change_subject::datacentre:
        return "datacentre";
    }
    return "invalid";
}

std::vector<document_change> diff_documents(const document& before, const document& after)
{
    change_list changes;
    compare(changes, change_subject::document, before.m_name, "name", before.m_name, after.m_name);
    diff_organisations(changes, before, after);
    diff_services(changes, before, after);
    diff_routes(changes, before, after);
    diff_datacentres(changes, before, after);
    diff_caller_limits(changes, before, after);
    return changes;
}

std::string to_line(const document_change& change)
{
    auto what = fmt::format("{} {}", to_string(change.m_subject), change.m_name);
    switch (change.m_kind) {
    case change_kind::added:
        return fmt::format("+ {}: {}", what, change.m_after);
    case change_kind::removed:
        return fmt::format("- {}: {}", what, change.m_before);
    case change_kind::changed:
        return fmt::format("~ {} {}: {} -> {}", what, change.m_field, change.m_before,
                           change.m_after);
    }
    return what;
}

} // namespace chivevane
