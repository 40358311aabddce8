#include "libload/load_generator.h"

#include "libbase/clock.h"

#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <memory>

namespace chivevane {

namespace {

constexpr duration request_timeout = 30s;
/// A body begins with the name of the endpoint, so its first bytes are enough.
constexpr std::size_t max_kept_body_bytes = 256;

/// The sample of a request whose response is being received.
struct pending_sample {
    load_sample m_sample;
    std::string m_body;
};

std::string parse_endpoint(std::string_view body)
{
    constexpr std::string_view prefix = "endpoint=";
    if (!body.starts_with(prefix)) {
        return {};
    }
    body.remove_prefix(prefix.size());
    return std::string{body.substr(0, body.find(' '))};
}

outgoing_request make_request(const load_stream& stream, std::string_view target,
                              std::uint64_t number)
{
    outgoing_request request;
    const auto colon = target.rfind(':');
    request.m_ip = target.substr(0, colon);
    const auto port = target.substr(colon + 1);
    std::from_chars(port.data(), port.data() + port.size(), request.m_port);
    request.m_head = {stream.m_method, stream.m_path, {{"Host", "load.example"}}};
    if (!stream.m_key.empty()) {
        request.m_head.m_fields.push_back({"Authorization", "Bearer " + stream.m_key});
    }
    if (stream.m_method == "POST") {
        request.m_body =
            std::make_shared<const std::string>(fmt::format("{}-{}", stream.m_name, number));
    }
    request.m_total_timeout = request_timeout;
    return request;
}

} // namespace

load_generator::load_generator(asio::io_context& loop, http_client& client, load_plan plan,
                               std::function<void(std::size_t, const load_sample&)> on_sample)
    : m_client(client),
      m_plan(std::move(plan)),
      m_on_sample(std::move(on_sample)),
      m_random(m_plan.m_seed)
{
    for (const auto& stream : m_plan.m_streams) {
        m_streams.push_back(
            {asio::steady_timer{loop},
             {},
             {stream.m_limit_rate, stream.m_limit_burst, stream.m_limit_burst, {}}});
    }
}

void load_generator::start()
{
    m_started_at = current_time();
    for (std::size_t index = 0; index < m_streams.size(); ++index) {
        m_streams[index].m_next_at = m_started_at;
        m_streams[index].m_reference_bucket.m_refilled_at = m_started_at;
        schedule(index);
    }
}

void load_generator::schedule(std::size_t index)
{
    auto& state = m_streams[index];
    const double interarrival_s =
        -std::log(1 - uniform_fraction(m_random)) / m_plan.m_streams[index].m_rate;
    state.m_next_at += from_seconds(interarrival_s);
    if (state.m_next_at - m_started_at > m_plan.m_duration) {
        return;
    }
    state.m_timer.expires_at(state.m_next_at);
    state.m_timer.async_wait([this, index](const asio::error_code& problem) {
        if (!problem) {
            send(index);
            schedule(index);
        }
    });
}

void load_generator::send(std::size_t index)
{
    const auto& stream = m_plan.m_streams[index];
    auto& state = m_streams[index];
    const auto scheduled_at = state.m_next_at;
    auto pending = std::make_shared<pending_sample>();
    pending->m_sample.m_scheduled_after = scheduled_at - m_started_at;
    pending->m_sample.m_is_inside_rate =
        stream.m_limit_rate <= 0 || take_exact_token(state.m_reference_bucket, scheduled_at);
    transfer_handlers handlers;
    handlers.m_on_head = [pending](const response_head& head) {
        pending->m_sample.m_status = head.m_status;
    };
    handlers.m_on_body = [pending](std::string_view part) {
        const auto remaining_bytes =
            max_kept_body_bytes - std::min(max_kept_body_bytes, pending->m_body.size());
        pending->m_body += part.substr(0, remaining_bytes);
        return body_flow::ready;
    };
    handlers.m_on_end = [this, index, pending, scheduled_at](transfer_end end, const std::string&) {
        auto& sample = pending->m_sample;
        if (end != transfer_end::complete) {
            sample.m_status = 0;
        }
        sample.m_latency = current_time() - scheduled_at;
        sample.m_endpoint = parse_endpoint(pending->m_body);
        m_on_sample(index, sample);
    };
    m_client.start(
        m_client.make_transfer_id(),
        make_request(stream, choose_target(stream, scheduled_at), ++m_last_request_number),
        std::move(handlers));
}

const std::string& load_generator::choose_target(const load_stream& stream, instant at)
{
    const auto count = m_plan.m_targets.size();
    switch (stream.m_target_choice) {
    case target_choice::single:
        return m_plan.m_targets.front();
    case target_choice::moving: {
        const auto second = static_cast<std::size_t>(to_seconds(at - m_started_at));
        return m_plan.m_targets[second % count];
    }
    case target_choice::spread:
        break;
    }
    return m_plan.m_targets[m_random(static_cast<std::uint32_t>(count))];
}

} // namespace chivevane
