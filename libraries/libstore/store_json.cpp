#include "libstore/store_json.h"

#include <nlohmann/json.hpp>

namespace chivevane {

namespace {

using nlohmann::json;

constexpr std::string_view read_target = "/v1/read";
constexpr std::string_view compare_and_swap_target = "/v1/compare-and-swap";
constexpr std::string_view grant_target = "/v1/lease/grant";
constexpr std::string_view renew_target = "/v1/lease/renew";
constexpr std::string_view revoke_target = "/v1/lease/revoke";
constexpr std::string_view watch_target = "/v1/watch";

json to_json(const store_entry& entry)
{
    return {{"key", entry.m_key}, {"value", entry.m_value}, {"version", entry.m_version}};
}

store_entry entry_from(const json& object)
{
    return {object.at("key"), object.at("value"), object.at("version")};
}

duration duration_from(const json& milliseconds)
{
    return std::chrono::milliseconds{milliseconds.get<std::int64_t>()};
}

store_operation operation_from(std::string_view target, const json& body)
{
    if (target == read_target) {
        return store_read{body.at("prefix")};
    }
    if (target == compare_and_swap_target) {
        return store_compare_and_swap{body.at("key"), body.at("expected_version"), body.at("value"),
                                      body.at("lease")};
    }
    if (target == grant_target) {
        return store_grant_lease{duration_from(body.at("time_to_live_ms"))};
    }
    if (target == renew_target) {
        return store_renew_lease{body.at("lease")};
    }
    if (target == revoke_target) {
        return store_revoke_lease{body.at("lease")};
    }
    if (target == watch_target) {
        return store_watch{body.at("prefix"), body.at("after_revision"),
                           duration_from(body.at("timeout_ms"))};
    }
    throw std::invalid_argument("unknown target");
}

store_outcome outcome_from(std::uint16_t status_code, const json& body)
{
    if (status_code == 409) {
        return store_conflict{entry_from(body.at("current"))};
    }
    if (status_code == 410) {
        return store_lease_not_found{};
    }
    if (body.contains("entries")) {
        store_entries found{body.at("revision"), {}};
        found.m_position = {body.value("era", std::uint64_t{0}),
                            body.value("as_of", std::uint64_t{0})};
        for (const auto& object : body.at("entries")) {
            found.m_entries.push_back(entry_from(object));
        }
        return found;
    }
    if (body.contains("lease")) {
        return store_lease{body.at("lease"), duration_from(body.at("time_to_live_ms"))};
    }
    return store_written{body.at("version")};
}

} // namespace

result<store_request_text> encode_store_operation(const store_operation& operation)
{
    json body;
    std::string_view target;
    std::visit(overloaded{
                   [&](const store_read& read) {
                       target = read_target;
                       body = {{"prefix", read.m_prefix}};
                   },
                   [&](const store_compare_and_swap& swap) {
                       target = compare_and_swap_target;
                       body = {{"key", swap.m_key},
                               {"expected_version", swap.m_expected_version},
                               {"value", swap.m_value},
                               {"lease", swap.m_lease}};
                   },
                   [&](const store_grant_lease& grant) {
                       target = grant_target;
                       body = {{"time_to_live_ms", to_milliseconds(grant.m_time_to_live)}};
                   },
                   [&](const store_renew_lease& renewal) {
                       target = renew_target;
                       body = {{"lease", renewal.m_lease}};
                   },
                   [&](const store_revoke_lease& revocation) {
                       target = revoke_target;
                       body = {{"lease", revocation.m_lease}};
                   },
                   [&](const store_watch& watch) {
                       target = watch_target;
                       body = {{"prefix", watch.m_prefix},
                               {"after_revision", watch.m_after_revision},
                               {"timeout_ms", to_milliseconds(watch.m_timeout)}};
                   },
               },
               operation);
    try {
        return store_request_text{std::string{target}, body.dump()};
    }
    catch (const json::exception& problem) {
        return error{error_kind::malformed, problem.what(), "Store only text in UTF-8."};
    }
}

result<store_operation> decode_store_operation(std::string_view target, std::string_view body)
{
    try {
        return operation_from(target, json::parse(body));
    }
    catch (const std::exception& problem) {
        return error{error_kind::malformed, problem.what(), "Send one of the store's operations."};
    }
}

store_response_text encode_store_outcome(const store_outcome& outcome)
{
    return std::visit(
        overloaded{
            [](const store_entries& found) {
                json entries = json::array();
                for (const auto& entry : found.m_entries) {
                    entries.push_back(to_json(entry));
                }
                const json body{{"revision", found.m_revision},
                                {"entries", std::move(entries)},
                                {"era", found.m_position.m_era},
                                {"as_of", found.m_position.m_revision}};
                return store_response_text{200, body.dump()};
            },
            [](const store_written& written) {
                return store_response_text{200, json{{"version", written.m_version}}.dump()};
            },
            [](const store_conflict& conflict) {
                return store_response_text{409,
                                           json{{"current", to_json(conflict.m_current)}}.dump()};
            },
            [](const store_lease& lease) {
                const json body{{"lease", lease.m_lease},
                                {"time_to_live_ms", to_milliseconds(lease.m_time_to_live)}};
                return store_response_text{200, body.dump()};
            },
            [](const store_lease_not_found&) {
                return store_response_text{410, "{}"};
            },
            [](const store_failure& failure) {
                return store_response_text{503, json{{"detail", failure.m_detail}}.dump()};
            },
        },
        outcome);
}

store_outcome decode_store_outcome(std::uint16_t status_code, std::string_view body)
{
    try {
        return outcome_from(status_code, json::parse(body));
    }
    catch (const std::exception& problem) {
        return store_failure{store_failure_kind::unknown, problem.what()};
    }
}

} // namespace chivevane
