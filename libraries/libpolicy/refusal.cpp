#include "libpolicy/refusal.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <fmt/format.h>

namespace chivevane {

namespace {

struct refusal_text {
    refusal_kind m_kind;
    std::uint16_t m_status;
    std::string_view m_name;
    std::string_view m_title;
    std::string_view m_remedy;
};

constexpr std::array refusal_texts{
    refusal_text{refusal_kind::malformed_request, 400, "malformed-request",
                 "The request is not valid HTTP/1.1.", "Send one Host field and CRLF line ends."},
    refusal_text{refusal_kind::key_missing, 401, "key-missing", "This route needs a key.",
                 "Send the key in Authorization: Bearer or X-Api-Key."},
    refusal_text{refusal_kind::key_unknown, 401, "key-unknown", "The key is not in force.",
                 "Ask the service's team for a new key."},
    refusal_text{refusal_kind::route_forbidden, 403, "route-forbidden",
                 "The key does not belong to this route's team.",
                 "Use a key of the team that owns the route."},
    refusal_text{refusal_kind::no_route, 404, "no-route", "No route fits the request.",
                 "Check host, path and method against the document's routes."},
    refusal_text{refusal_kind::request_timeout, 408, "request-timeout",
                 "The request did not arrive in time.", "Send the whole request without pauses."},
    refusal_text{refusal_kind::body_too_large, 413, "body-too-large",
                 "The request body exceeds the limit.", "Send a smaller body."},
    refusal_text{refusal_kind::rate_exceeded, 429, "rate-exceeded",
                 "The organisation's rate is used up.", "Wait as long as Retry-After says."},
    refusal_text{refusal_kind::no_upstream, 503, "no-upstream",
                 "No upstream of the service can take the request.", "Try again later."},
    refusal_text{refusal_kind::overloaded, 503, "overloaded", "The service is overloaded.",
                 "Wait as long as Retry-After says."},
    refusal_text{refusal_kind::busy, 503, "busy", "The upstream has no room now.",
                 "Wait as long as Retry-After says."},
    refusal_text{refusal_kind::circuit_open, 503, "failing", "The upstream has failed of late.",
                 "Wait as long as Retry-After says."},
    refusal_text{refusal_kind::upstream_refused, 503, "upstream-refused",
                 "The upstream did not run the request.", "Wait as long as Retry-After says."},
    refusal_text{refusal_kind::unreachable, 503, "unreachable",
                 "No upstream of the service could be reached.", "Try again later."},
    refusal_text{refusal_kind::leaving, 503, "leaving", "This host is shutting down.",
                 "Send the request to another host."},
    refusal_text{refusal_kind::not_ready, 503, "not-ready",
                 "This host hears neither the store nor its peers.",
                 "Send the request to another host."},
    refusal_text{refusal_kind::quarantined, 503, "quarantined",
                 "Requests like this one crashed upstreams.",
                 "Do not repeat the request; tell the service's team."},
    refusal_text{refusal_kind::upstream_failed, 502, "upstream-failed",
                 "The upstream broke off before its answer was complete.",
                 "Repeat the request only if it is idempotent or the outcome is not-run."},
    refusal_text{refusal_kind::deadline_exceeded, 504, "deadline-exceeded",
                 "No answer came within the deadline.",
                 "Repeat the request only if it is idempotent or the outcome is not-run."},
};

const refusal_text& text_of(refusal_kind kind)
{
    const auto* const found =
        std::find_if(refusal_texts.begin(), refusal_texts.end(),
                     [kind](const refusal_text& text) { return text.m_kind == kind; });
    assert(found != refusal_texts.end());
    return *found;
}

} // namespace

std::string_view to_string(refusal_kind kind)
{
    return text_of(kind).m_name;
}

std::optional<refusal_kind> parse_refusal_kind(std::string_view name)
{
    for (const auto& text : refusal_texts) {
        if (text.m_name == name) {
            return text.m_kind;
        }
    }
    return std::nullopt;
}

std::uint16_t status_of(refusal_kind kind)
{
    return text_of(kind).m_status;
}

respond make_refusal(exchange_id exchange, const refusal& reason)
{
    const auto& text = text_of(reason.m_kind);
    const auto* const outcome =
        reason.m_outcome == request_outcome::not_run ? "not-run" : "unknown";
    respond answer;
    answer.m_exchange = exchange;
    answer.m_head.m_status = text.m_status;
    answer.m_head.m_fields.push_back({"Content-Type", "application/problem+json"});
    if (reason.m_retry_after) {
        const auto seconds = (reason.m_retry_after->count() + 999'999) / 1'000'000;
        answer.m_head.m_fields.push_back(
            {"Retry-After", std::to_string(std::max<long>(1, seconds))});
    }
    if (text.m_status == 401) {
        answer.m_head.m_fields.push_back({"WWW-Authenticate", "Bearer"});
    }
    answer.m_body = fmt::format(R"({{"type":"urn:chivevane:problem:{}","title":"{}","status":{},)"
                                R"("detail":"{}","outcome":"{}"}})"
                                "\n",
                                text.m_name, text.m_title, text.m_status, text.m_remedy, outcome);
    return answer;
}

} // namespace chivevane
