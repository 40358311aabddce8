#include "libpolicy/limits/metering.h"

#include "libbase/rendezvous.h"
#include "libpolicy/membership/membership.h"

#include <algorithm>
#include <fmt/format.h>

namespace chivevane::limits {

namespace {

constexpr duration first_repeat_interval = 12ms; ///< Several round trips; doubles each time.
constexpr std::uint32_t times_sent = 5;          ///< Losing all is rare even at 30% loss.
constexpr duration silence_penalty = 5s;         ///< A meter that did not answer is passed over.

/// A meter is passed over only after it has been silent for so long: a second meter of the same
/// organisation gives tokens of its own.
constexpr duration silence_limit = 400ms;
constexpr duration answer_memory = 500ms; ///< Longer than a request is repeated.
constexpr duration idle_lifetime = 30s;
constexpr duration sweep_interval = 5s;

/// A meter that begins knows nothing of the requests just before, so it gives less than the burst.
constexpr double first_fill = 0.4;

/// Part of the slack that one meter lets through beyond the burst: callers' bursts arrive closer
/// together than they were sent. The rest is for meters that follow one another.
constexpr double slack_of_a_meter = 0.25;

/// Requests that a host without a meter lets through at once, where there is slack at all.
constexpr double least_share_burst = 2;

void fill(token_bucket& bucket, double rate, double bound, instant now)
{
    const auto earned = rate * to_seconds(now - bucket.m_updated_at);
    bucket.m_tokens = std::min(bound, bucket.m_tokens + earned);
    bucket.m_updated_at = now;
}

duration time_to_token(const token_bucket& bucket, double rate)
{
    constexpr double longest_wait_s = 5;
    const auto missing = 1 - bucket.m_tokens;
    return from_seconds(rate > 0 ? std::min(missing / rate, longest_wait_s) : longest_wait_s);
}

metered_account& account_of(metering_state& state, std::string_view organisation,
                            double initial_share, instant now)
{
    auto found = state.m_accounts.find(organisation);
    if (found == state.m_accounts.end()) {
        found = state.m_accounts.emplace(organisation, metered_account{}).first;
        found->second.m_share = {initial_share, now};
    }
    found->second.m_used_at = now;
    return found->second;
}

/// This host and the members that may meter, without those that were silent of late.
std::vector<std::string> possible_meters(const metering_state& state, const context& surroundings,
                                         const membership_state& members)
{
    const auto& self = surroundings.m_settings.m_self.m_name;
    std::vector<std::string> able;
    for (const auto& [name, peer] : members.m_members) {
        const auto silent = state.m_silent_until.find(name);
        const bool is_silent =
            silent != state.m_silent_until.end() && surroundings.m_now < silent->second;
        if (name == self || (membership::is_usable(peer) && !is_silent)) {
            able.push_back(name);
        }
    }
    return able;
}

/// The host that meters `organisation`: the same on all hosts that see the same members.
std::string meter_of(const metering_state& state, const context& surroundings,
                     const membership_state& members, std::string_view organisation)
{
    return std::string{
        rendezvous_owner(organisation, possible_meters(state, surroundings, members))};
}

/// Requests beyond the burst that a meter lets through.
double slack_of(const context& surroundings)
{
    return surroundings.m_settings.m_rate_slack * slack_of_a_meter;
}

/// Requests that this host lets through at once without a meter, however small its part is.
double least_burst_of(const context& surroundings)
{
    return surroundings.m_settings.m_rate_slack > 0 ? least_share_burst : 0;
}

/// Takes a token of the organisation's bucket on this host.
token_response draw(metering_state& state, const token_request& request, double slack, instant now)
{
    auto found = state.m_meters.find(request.m_organisation);
    if (found == state.m_meters.end()) {
        found = state.m_meters.emplace(request.m_organisation, token_meter{}).first;
        found->second.m_bucket = {request.m_burst * first_fill + slack, now};
    }
    auto& bucket = found->second.m_bucket;
    fill(bucket, request.m_rate, request.m_burst + slack, now);
    bucket.m_tokens -= request.m_unasked;
    if (bucket.m_tokens < 1) {
        const auto wait = to_milliseconds(time_to_token(bucket, request.m_rate));
        return {request.m_id, token_verdict::refused, static_cast<std::uint32_t>(wait)};
    }
    bucket.m_tokens -= 1;
    return {request.m_id, token_verdict::granted, 0};
}

/// Tells the log what a refusal was decided by.
void record_refusal(context& surroundings, const token_request& request, std::string_view meter,
                    duration waited, std::uint32_t retry_after_ms)
{
    emit(surroundings, record_event{"rate-exceeded",
                                    {{"organisation", request.m_organisation},
                                     {"rate", fmt::format("{:.2f}", request.m_rate)},
                                     {"burst", fmt::format("{:.2f}", request.m_burst)},
                                     {"meter", std::string{meter}},
                                     {"asked_ms", std::to_string(to_milliseconds(waited))},
                                     {"retry_after_ms", std::to_string(retry_after_ms)}},
                                    record_target::timeline_and_log});
}

verdict verdict_of(context& surroundings, const token_request& request, std::string_view meter,
                   duration waited, const token_response& response)
{
    if (response.m_verdict == token_verdict::granted) {
        return granted{};
    }
    record_refusal(surroundings, request, meter, waited, response.m_retry_after_ms);
    return refused{std::chrono::milliseconds{response.m_retry_after_ms}};
}

void send_to(context& surroundings, const membership_state& members, std::string_view host,
             const token_request& request)
{
    if (const auto* const peer = membership::find_member(members, host)) {
        emit(surroundings, send_datagram{peer->m_latest.m_address, request});
    }
}

/// Sends the request to the meter, and when repeated also by way of some other host, since paths
/// may be broken between two hosts alone.
void send_pending(metering_state& state, pending_token& pending, context& surroundings,
                  const membership_state& members)
{
    ++pending.m_times_sent;
    pending.m_next_look =
        surroundings.m_now + first_repeat_interval * (1U << (pending.m_times_sent - 1));
    const auto& meter = pending.m_request.m_meter;
    send_to(surroundings, members, meter, pending.m_request);
    if (pending.m_times_sent == 1) {
        return;
    }
    auto relays = possible_meters(state, surroundings, members);
    std::erase(relays, meter);
    std::erase(relays, surroundings.m_settings.m_self.m_name);
    if (!relays.empty()) {
        const auto choice = surroundings.m_random(static_cast<std::uint32_t>(relays.size()));
        send_to(surroundings, members, relays[choice], pending.m_request);
    }
}

/// Passes a request on to its meter.
void relay(metering_state& state, context& surroundings, const membership_state& members,
           const token_request& request)
{
    auto passed_on = request;
    passed_on.m_address = surroundings.m_settings.m_address;
    passed_on.m_id = ++state.m_last_id;
    state.m_relayed[passed_on.m_id] = {request.m_address, request.m_id, surroundings.m_now};
    send_to(surroundings, members, request.m_meter, passed_on);
}

/// Decides without a meter, within an even part of the limit.
verdict decide_alone(metering_state& state, context& surroundings, const membership_state& members,
                     const pending_token& pending)
{
    const auto hosts = static_cast<double>(membership::count_live_peers(members) + 1);
    const auto least_burst = least_burst_of(surroundings);
    auto& account =
        account_of(state, pending.m_request.m_organisation, least_burst, surroundings.m_now);
    account.m_unasked += pending.m_request.m_unasked; // The meter may not have heard of them.
    const auto rate = pending.m_limit.m_rate / hosts;
    fill(account.m_share, rate, std::max(least_burst, pending.m_limit.m_burst / hosts),
         surroundings.m_now);
    emit(surroundings, record_event{"meter-silent",
                                    {{"organisation", pending.m_request.m_organisation},
                                     {"meter", pending.m_request.m_meter},
                                     {"tokens", fmt::format("{:.2f}", account.m_share.m_tokens)}},
                                    record_target::timeline_and_log});
    if (account.m_share.m_tokens < 1) {
        return refused{time_to_token(account.m_share, rate)};
    }
    account.m_share.m_tokens -= 1;
    ++account.m_unasked;
    return granted{};
}

/// A meter has left a request without an answer.
void note_silence(metering_state& state, const std::string& meter, instant now)
{
    const auto [place, is_first] = state.m_silent_since.try_emplace(meter, now);
    if (!is_first && now - place->second >= silence_limit) {
        state.m_silent_until[meter] = now + silence_penalty;
        state.m_silent_since.erase(place);
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
    std::erase_if(state.m_meters, [now](const auto& entry) {
        return now - entry.second.m_bucket.m_updated_at > idle_lifetime;
    });
    std::erase_if(state.m_relayed,
                  [now](const auto& entry) { return now - entry.second.m_at > answer_memory; });
    std::erase_if(state.m_silent_until, [now](const auto& entry) { return now >= entry.second; });
}

} // namespace

verdict take_metered(metering_state& state, context& surroundings, const membership_state& members,
                     std::string_view organisation, const rate_limit& limit, std::uint64_t ticket)
{
    const auto now = surroundings.m_now;
    sweep(state, now);
    auto& account = account_of(state, organisation, least_burst_of(surroundings), now);
    pending_token pending{ticket,
                          {surroundings.m_settings.m_address, ++state.m_last_id,
                           meter_of(state, surroundings, members, organisation),
                           std::string{organisation}, static_cast<float>(limit.m_rate),
                           static_cast<float>(limit.m_burst), account.m_unasked},
                          limit,
                          now};
    account.m_unasked = 0;
    if (pending.m_request.m_meter == surroundings.m_settings.m_self.m_name) {
        return verdict_of(surroundings, pending.m_request, pending.m_request.m_meter, {},
                          draw(state, pending.m_request, slack_of(surroundings), now));
    }
    send_pending(state, pending, surroundings, members);
    state.m_pending.emplace(pending.m_request.m_id, std::move(pending));
    return waiting{};
}

void withdraw_metered(metering_state& state, std::uint64_t ticket)
{
    std::erase_if(state.m_pending,
                  [ticket](const auto& entry) { return entry.second.m_ticket == ticket; });
}

void on_token_request(metering_state& state, context& surroundings, const membership_state& members,
                      const host_identity& sender, const token_request& request)
{
    const auto now = surroundings.m_now;
    if (request.m_meter != surroundings.m_settings.m_self.m_name) {
        relay(state, surroundings, members, request);
        return;
    }
    while (!state.m_given.empty() && now - state.m_given.front().m_at > answer_memory) {
        state.m_given.pop_front();
    }
    const auto given =
        std::find_if(state.m_given.begin(), state.m_given.end(), [&](const given_answer& each) {
            return each.m_response.m_id == request.m_id && each.m_host == sender.m_name;
        });
    if (given != state.m_given.end()) {
        emit(surroundings, send_datagram{request.m_address, given->m_response});
        return;
    }
    const auto response = draw(state, request, slack_of(surroundings), now);
    state.m_given.push_back({now, sender.m_name, response});
    emit(surroundings, send_datagram{request.m_address, response});
}

void on_token_response(metering_state& state, context& surroundings, const token_response& response)
{
    if (const auto relayed = state.m_relayed.extract(response.m_id); !relayed.empty()) {
        auto passed_on = response;
        passed_on.m_id = relayed.mapped().m_id;
        emit(surroundings, send_datagram{relayed.mapped().m_origin, passed_on});
        return;
    }
    const auto node = state.m_pending.extract(response.m_id);
    if (node.empty()) {
        return;
    }
    const auto& pending = node.mapped();
    state.m_silent_since.erase(pending.m_request.m_meter);
    state.m_settled.push_back(
        {pending.m_ticket, verdict_of(surroundings, pending.m_request, pending.m_request.m_meter,
                                      surroundings.m_now - pending.m_first_sent_at, response)});
}

void check_metered(metering_state& state, context& surroundings, const membership_state& members)
{
    const auto now = surroundings.m_now;
    for (auto place = state.m_pending.begin(); place != state.m_pending.end();) {
        auto& pending = place->second;
        if (now < pending.m_next_look) {
            ++place;
            continue;
        }
        if (pending.m_times_sent < times_sent) {
            send_pending(state, pending, surroundings, members);
            ++place;
            continue;
        }
        note_silence(state, pending.m_request.m_meter, now);
        state.m_settled.push_back(
            {pending.m_ticket, decide_alone(state, surroundings, members, pending)});
        place = state.m_pending.erase(place);
    }
}

instant next_metered_check(const metering_state& state)
{
    auto earliest = instant::max();
    for (const auto& [id, pending] : state.m_pending) {
        earliest = std::min(earliest, pending.m_next_look);
    }
    return earliest;
}

} // namespace chivevane::limits
