#include "libpolicy/ingress/caller_request.h"

#include "libbase/digest.h"
#include "libdocument/match_route.h"
#include "libpolicy/configuration/configuration.h"
#include "libpolicy/ingress/request_validation.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

namespace chivevane::ingress {

namespace {

constexpr std::string_view bearer_scheme = "Bearer ";

std::optional<std::string_view> key_of(const request_head& head)
{
    if (const auto field = find_field(head.m_fields, "Authorization")) {
        if (equal_ignoring_case(field->substr(0, bearer_scheme.size()), bearer_scheme)) {
            return field->substr(bearer_scheme.size());
        }
    }
    return find_field(head.m_fields, "X-Api-Key");
}

std::string_view host_of(const request_head& head)
{
    const auto host = find_field(head.m_fields, "Host").value_or("");
    return host.substr(0, host.rfind(':'));
}

std::string_view path_of(const request_head& head)
{
    const std::string_view target = head.m_target;
    return target.substr(0, target.find('?'));
}

const route* find_route(const document& parsed_document, const request_head& head)
{
    return match_route(parsed_document, host_of(head), head.m_method, path_of(head));
}

request_authorisation make_authorisation(const document_in_force& in_force, const route* matched)
{
    return {in_force.m_document, matched, in_force.m_stored.m_revision, {}, {},
            matched->m_priority};
}

/// Looks in all documents for a matching route that needs no key. If only routes that need a key
/// match, returns `key_missing`; if none matches, `no_route`.
std::variant<request_authorisation, refusal_kind>
authorise_without_key(const configuration_state& configuration, const request_head& head)
{
    auto reason = refusal_kind::no_route;
    for (const auto& [name, in_force] : configuration.m_documents) {
        const auto* const matched = find_route(*in_force.m_document, head);
        if (matched == nullptr) {
            continue;
        }
        if (matched->m_access == route_access::open_to_all) {
            return make_authorisation(in_force, matched);
        }
        reason = refusal_kind::key_missing;
    }
    return reason;
}

std::variant<request_authorisation, refusal_kind>
authorise_key_owner(const configuration_state& configuration, const request_head& head,
                    const key_owner& owner)
{
    const auto& in_force = configuration.m_documents.at(owner.m_document);
    const auto* const matched = find_route(*in_force.m_document, head);
    if (matched == nullptr) {
        auto without_key = authorise_without_key(configuration, head);
        const auto* const reason = std::get_if<refusal_kind>(&without_key);
        if (reason != nullptr && *reason == refusal_kind::key_missing) {
            return refusal_kind::route_forbidden;
        }
        return without_key;
    }
    auto authorisation = make_authorisation(in_force, matched);
    const auto& organisations = in_force.m_document->m_organisations;
    const auto found = std::find_if(
        organisations.begin(), organisations.end(),
        [&owner](const organisation& each) { return each.m_name == owner.m_organisation; });
    authorisation.m_organisation = owner.m_organisation;
    authorisation.m_limit = {found->m_rate, found->m_burst};
    authorisation.m_priority = found->m_priority.value_or(matched->m_priority);
    return authorisation;
}

/// Authorises a request whose head is well-formed.
std::variant<request_authorisation, refusal_kind>
authorise_caller(const configuration_state& configuration, const request_head& head,
                 const caller_credential& credential)
{
    if (const auto* known = std::get_if<key_owner>(&credential)) {
        return authorise_key_owner(configuration, head, *known);
    }
    const auto* const digest = std::get_if<key_digest>(&credential);
    if (digest == nullptr) {
        return authorise_without_key(configuration, head);
    }
    const auto* const owner = configuration::find_key_owner(configuration, digest->m_hex);
    if (owner != nullptr) {
        return authorise_key_owner(configuration, head, *owner);
    }
    auto without_key = authorise_without_key(configuration, head);
    const auto* const reason = std::get_if<refusal_kind>(&without_key);
    if (reason != nullptr && *reason == refusal_kind::key_missing) {
        return refusal_kind::key_unknown;
    }
    return without_key;
}

} // namespace

std::variant<request_authorisation, refusal_kind>
authorise_request(const configuration_state& configuration, const request_head& head,
                  const caller_credential& credential)
{
    if (!is_well_formed(head)) {
        return refusal_kind::malformed_request;
    }
    return authorise_caller(configuration, head, credential);
}

std::variant<request_authorisation, refusal_kind>
authorise_request(const configuration_state& configuration, const request_head& head)
{
    if (!is_well_formed(head)) {
        return refusal_kind::malformed_request;
    }
    const auto key = key_of(head);
    return authorise_caller(configuration, head,
                            key ? caller_credential{key_digest{sha256_hex(*key)}}
                                : caller_credential{});
}

duration timeout_of(const request_head& head, const route& matched)
{
    const auto field = find_field(head.m_fields, "X-Request-Timeout-Ms").value_or("");
    std::int64_t milliseconds = 0;
    const auto* end = field.data() + field.size();
    const auto [stop, problem] = std::from_chars(field.data(), end, milliseconds);
    if (problem != std::errc{} || stop != end || milliseconds <= 0) {
        return matched.m_timeout;
    }
    const std::chrono::milliseconds requested{std::min<std::int64_t>(milliseconds, 3'600'000)};
    return std::min<duration>(matched.m_timeout, requested);
}

} // namespace chivevane::ingress
