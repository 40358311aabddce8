#include "libpolicy/limits/metering.h"

#include "libbase/rendezvous.h"
#include "libpolicy/limits/meter_bucket.h"
#include "libpolicy/limits/meter_reach.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace chivevane::limits {

namespace {

constexpr duration first_retry_interval = 12ms; ///< Several round trips; doubles with each retry.
constexpr std::uint32_t max_times_sent = 5; ///< Losing all of them is rare even at 30% packet loss.
constexpr duration silence_penalty = 5s;    ///< How long a silent meter is not used.

/// A meter counts as silent once it has left requests unanswered for this long. Using another meter
/// sooner would start excess requests, since each meter of an organisation has tokens of its own.
constexpr duration silence_threshold = 400ms;
constexpr duration response_cache_lifetime = 500ms; ///< Longer than a request is retried.
constexpr duration idle_lifetime = 30s;
constexpr duration sweep_interval = 5s;

/// Retry delay for requests that come before a started host knows any other. It reads the list of
/// hosts within this time.
constexpr duration unknown_fleet_retry_delay = 1s;

metered_account& account_of(metering_state& state, std::string_view organisation,
                            double initial_local_tokens, instant now)
{
    auto found = state.m_accounts.find(organisation);
    if (found == state.m_accounts.end()) {
        found = state.m_accounts.emplace(organisation, metered_account{}).first;
        found->second.m_local_bucket = {initial_local_tokens, now};
    }
    found->second.m_used_at = now;
    return found->second;
}

bool is_silent(const metering_state& state, const std::string& host, instant now)
{
    const auto silent = state.m_silent_until.find(host);
    return silent != state.m_silent_until.end() && now < silent->second;
}

/// Names of this host and the members that may be meters, except those that were silent recently.
/// Hosts that are registered and not known yet may be meters too, so that hosts which start
/// together choose the same. Empty while a started host has not read which hosts are registered.
std::vector<std::string> possible_meters(const metering_state& state,
                                         const reducer_context& context,
                                         const membership_state& members)
{
    const auto& self = context.m_settings.m_self.m_name;
    const auto& registration = members.m_registration;
    const bool is_complete = membership::is_view_complete(members, context.m_now);
    if (!is_complete && !registration.m_has_read_hosts &&
        membership::count_live_peers(members) == 0) {
        return {};
    }
    std::vector<std::string> candidates;
    for (const auto& [name, peer] : members.m_members) {
        if (name == self ||
            (membership::is_usable(peer) && !is_silent(state, name, context.m_now))) {
            candidates.push_back(name);
        }
    }
    if (is_complete) {
        return candidates;
    }
    for (const auto& registered : registration.m_registered) {
        if (!members.m_members.contains(registered.m_name) &&
            !is_silent(state, registered.m_name, context.m_now)) {
            candidates.push_back(registered.m_name);
        }
    }
    return candidates;
}

/// Rounds a number of tokens up or down at random, such that the mean stays the same.
double round_at_random(double tokens, random_engine& engine)
{
    const auto whole = std::floor(tokens);
    return whole + (uniform_fraction(engine) < tokens - whole ? 1 : 0);
}

/// Records a refusal in the timeline and the log, with the values that it was based on.
void record_refusal(reducer_context& context, const token_request& request, std::string_view meter,
                    duration waited, std::uint32_t retry_after_ms)
{
    emit(context, record_event{"rate-exceeded",
                               {{"organisation", request.m_organisation},
                                {"rate", fmt::format("{:.2f}", request.m_rate)},
                                {"burst", fmt::format("{:.2f}", request.m_burst)},
                                {"meter", std::string{meter}},
                                {"asked_ms", std::to_string(to_milliseconds(waited))},
                                {"retry_after_ms", std::to_string(retry_after_ms)}},
                               record_target::timeline_and_log});
}

decision decision_of(reducer_context& context, const token_request& request, std::string_view meter,
                     duration waited, const token_response& response)
{
    if (response.m_decision == token_decision::granted) {
        return granted{};
    }
    record_refusal(context, request, meter, waited, response.m_retry_after_ms);
    return refused{std::chrono::milliseconds{response.m_retry_after_ms}};
}

void send_to(reducer_context& context, const membership_state& members, std::string_view host,
             const token_request& request)
{
    if (const auto* const peer = membership::find_member(members, host)) {
        emit(context, send_datagram{peer->m_record.m_address, request});
        return;
    }
    const auto& registered = members.m_registration.m_registered;
    const auto found =
        std::find_if(registered.begin(), registered.end(),
                     [host](const registered_host& each) { return each.m_name == host; });
    if (found != registered.end()) {
        emit(context, send_datagram{found->m_address, request});
    }
}

/// Sends the request to the meter. Retries are also sent through another host as a relay, since the
/// path between these two hosts alone may be broken.
void send_pending(metering_state& state, pending_token_request& pending, reducer_context& context,
                  const membership_state& members)
{
    ++pending.m_times_sent;
    pending.m_next_retry_at =
        context.m_now + first_retry_interval * (1U << (pending.m_times_sent - 1));
    const auto& meter = pending.m_token_request.m_meter;
    send_to(context, members, meter, pending.m_token_request);
    if (pending.m_times_sent == 1) {
        return;
    }
    auto relays = possible_meters(state, context, members);
    std::erase(relays, meter);
    std::erase(relays, context.m_settings.m_self.m_name);
    if (!relays.empty()) {
        const auto choice = context.m_random(static_cast<std::uint32_t>(relays.size()));
        send_to(context, members, relays[choice], pending.m_token_request);
    }
}

/// Relays a request to its meter.
void relay(metering_state& state, reducer_context& context, const membership_state& members,
           const token_request& request)
{
    auto forwarded = request;
    forwarded.m_address = context.m_settings.m_address;
    forwarded.m_id = ++state.m_last_id;
    state.m_relayed[forwarded.m_id] = {request.m_address, request.m_id, context.m_now};
    send_to(context, members, request.m_meter, forwarded);
}

/// Decides without the meter, within an even fraction of the limit.
decision decide_locally(metering_state& state, reducer_context& context,
                        const membership_state& members, const pending_token_request& pending)
{
    if (pending.m_token_request.m_meter.empty()) {
        return refused{unknown_fleet_retry_delay}; // It is not known among how many to divide.
    }
    const auto hosts = count_hosts(members);
    const auto min_burst = min_local_burst_of(context, members);
    auto& account = account_of(state, pending.m_token_request.m_organisation,
                               round_at_random(min_burst, context.m_random), context.m_now);
    // The meter may not have received them.
    account.m_locally_admitted += pending.m_token_request.m_locally_admitted;
    const auto rate = pending.m_limit.m_rate / hosts;
    refill(account.m_local_bucket, rate, std::max(min_burst, pending.m_limit.m_burst / hosts),
           context.m_now);
    emit(context, record_event{"meter-silent",
                               {{"organisation", pending.m_token_request.m_organisation},
                                {"meter", pending.m_token_request.m_meter},
                                {"tokens", fmt::format("{:.2f}", account.m_local_bucket.m_tokens)}},
                               record_target::timeline_and_log});
    if (account.m_local_bucket.m_tokens < 1) {
        return refused{time_to_token(account.m_local_bucket, rate)};
    }
    account.m_local_bucket.m_tokens -= 1;
    ++account.m_locally_admitted;
    return granted{};
}

/// Decides a request that waits at the meter itself.
decision decide_as_meter(metering_state& state, reducer_context& context,
                         const membership_state& members, const pending_token_request& pending)
{
    const auto& request = pending.m_token_request;
    return decision_of(context, request, request.m_meter, context.m_now - pending.m_first_sent_at,
                       take_from_bucket(state, context, members, request));
}

/// Records that a meter left a request unanswered, and stops using it once it counts as silent.
void record_silence(metering_state& state, const std::string& meter, instant now)
{
    const auto [entry, is_first] = state.m_silent_since.try_emplace(meter, now);
    if (!is_first && now - entry->second >= silence_threshold) {
        record_no_answer(state.m_reach, meter, entry->second);
        state.m_silent_until[meter] = now + silence_penalty;
        state.m_silent_since.erase(entry);
    }
}

void sweep(metering_state& state, instant now)
{
    if (now < state.m_next_sweep) {
        return;
    }
    state.m_next_sweep = now + sweep_interval;
    std::erase_if(state.m_accounts, [now](const auto& entry) {
        return now - entry.second.m_used_at > idle_lifetime;
    });
    std::erase_if(state.m_metered_buckets, [now](const auto& entry) {
        return now - entry.second.m_bucket.m_updated_at > idle_lifetime;
    });
    std::erase_if(state.m_relayed, [now](const auto& entry) {
        return now - entry.second.m_at > response_cache_lifetime;
    });
    std::erase_if(state.m_silent_until, [now](const auto& entry) { return now >= entry.second; });
}

} // namespace

std::string meter_of(const metering_state& state, const reducer_context& context,
                     const membership_state& members, std::string_view organisation)
{
    return std::string{rendezvous_owner(organisation, possible_meters(state, context, members))};
}

decision take_metered_token(metering_state& state, reducer_context& context,
                            const membership_state& members, std::string_view organisation,
                            const rate_limit& limit, std::uint64_t request_id)
{
    const auto now = context.m_now;
    sweep(state, now);
    auto& account =
        account_of(state, organisation,
                   round_at_random(min_local_burst_of(context, members), context.m_random), now);
    pending_token_request pending{request_id,
                                  {context.m_settings.m_address, ++state.m_last_id,
                                   meter_of(state, context, members, organisation),
                                   std::string{organisation}, static_cast<float>(limit.m_rate),
                                   static_cast<float>(limit.m_burst), account.m_locally_admitted},
                                  limit,
                                  now};
    account.m_locally_admitted = 0;
    if (pending.m_token_request.m_meter == context.m_settings.m_self.m_name) {
        return decide_as_meter(state, context, members, pending);
    }
    send_pending(state, pending, context, members);
    state.m_pending.emplace(pending.m_token_request.m_id, std::move(pending));
    return waiting{};
}

void cancel_metered_request(metering_state& state, std::uint64_t request_id)
{
    std::erase_if(state.m_pending, [request_id](const auto& entry) {
        return entry.second.m_request_id == request_id;
    });
}

void on_token_request(metering_state& state, reducer_context& context,
                      const membership_state& members, const host_identity& sender,
                      const token_request& request)
{
    const auto now = context.m_now;
    if (request.m_meter != context.m_settings.m_self.m_name) {
        relay(state, context, members, request);
        return;
    }
    while (!state.m_cached_responses.empty() &&
           now - state.m_cached_responses.front().m_at > response_cache_lifetime) {
        state.m_cached_responses.pop_front();
    }
    const auto cached = std::find_if(
        state.m_cached_responses.begin(), state.m_cached_responses.end(),
        [&](const cached_response& answer) {
            return answer.m_response.m_id == request.m_id && answer.m_host == sender.m_name;
        });
    if (cached != state.m_cached_responses.end()) {
        emit(context, send_datagram{request.m_address, cached->m_response});
        return;
    }
    const auto response = take_from_bucket(state, context, members, request);
    state.m_cached_responses.push_back({now, sender.m_name, response});
    emit(context, send_datagram{request.m_address, response});
}

void on_token_response(metering_state& state, reducer_context& context,
                       const token_response& response)
{
    if (const auto relayed = state.m_relayed.extract(response.m_id); !relayed.empty()) {
        auto forwarded = response;
        forwarded.m_id = relayed.mapped().m_id;
        emit(context, send_datagram{relayed.mapped().m_origin, forwarded});
        return;
    }
    const auto extracted = state.m_pending.extract(response.m_id);
    if (extracted.empty()) {
        return;
    }
    const auto& pending = extracted.mapped();
    state.m_silent_since.erase(pending.m_token_request.m_meter);
    state.m_deferred_decisions.push_back(
        {pending.m_request_id,
         decision_of(context, pending.m_token_request, pending.m_token_request.m_meter,
                     context.m_now - pending.m_first_sent_at, response)});
}

void check_metered_requests(metering_state& state, reducer_context& context,
                            const membership_state& members)
{
    const auto now = context.m_now;
    ask_hosts(state.m_reach, context, members);
    for (auto entry = state.m_pending.begin(); entry != state.m_pending.end();) {
        auto& pending = entry->second;
        if (now < pending.m_next_retry_at) {
            ++entry;
            continue;
        }
        auto& meter = pending.m_token_request.m_meter;
        if (meter.empty()) {
            meter = meter_of(state, context, members, pending.m_token_request.m_organisation);
        }
        if (meter == context.m_settings.m_self.m_name) {
            state.m_deferred_decisions.push_back(
                {pending.m_request_id, decide_as_meter(state, context, members, pending)});
            entry = state.m_pending.erase(entry);
            continue;
        }
        if (pending.m_times_sent < max_times_sent) {
            send_pending(state, pending, context, members);
            ++entry;
            continue;
        }
        if (!meter.empty()) {
            record_silence(state, meter, now);
        }
        state.m_deferred_decisions.push_back(
            {pending.m_request_id, decide_locally(state, context, members, pending)});
        entry = state.m_pending.erase(entry);
    }
}

instant next_metered_check(const metering_state& state)
{
    auto earliest = next_asking(state.m_reach);
    for (const auto& [id, pending] : state.m_pending) {
        earliest = std::min(earliest, pending.m_next_retry_at);
    }
    return earliest;
}

} // namespace chivevane::limits
