#include "libpolicy/fleet_fixture.h"

#include "libbase/result.h"
#include "libpolicy/configuration/configuration.h"
#include "libpolicy/configuration/document_transfer.h"
#include "libpolicy/membership/membership.h"
#include "libwire/datagram.h"

#include <fmt/format.h>
#include <utility>

namespace chivevane::test::control {

namespace {

constexpr duration store_latency = 5ms;
constexpr duration store_timeout = 1s; // After this a host process reports a failed call.
constexpr duration expiry_interval = 100ms;

/// Time after which a host process gives up a waiting call whose connection has gone silent.
constexpr duration silence_timeout = 5s;

bool is_membership_message(const message& body)
{
    return std::holds_alternative<host_record>(body) || std::holds_alternative<gossip>(body) ||
           std::holds_alternative<probe>(body) || std::holds_alternative<probe_ack>(body) ||
           std::holds_alternative<host_record_request>(body);
}

/// Returns the size of the documents in the store's answer that come without their parsed form.
std::size_t unparsed_bytes(const store_outcome& outcome)
{
    std::size_t bytes = 0;
    if (const auto* const entries = std::get_if<store_entries>(&outcome); entries != nullptr) {
        for (const auto& entry : entries->m_entries) {
            const auto transferred = decode_document_transfer(entry.m_value);
            const bool is_parsed = transferred && transferred->m_parsed_document != nullptr;
            bytes += is_parsed ? 0 : entry.m_value.size();
        }
    }
    return bytes;
}

std::int64_t wall_ms(instant now)
{
    return 1'700'000'000'000 + to_milliseconds(now.time_since_epoch());
}

} // namespace

fleet::fleet(std::size_t count, std::uint64_t seed, seeds seed_hosts)
    : m_hosts(count), m_random(seed)
{
    for (std::size_t index = 0; index < count; ++index) {
        auto& settings = m_hosts[index].m_settings;
        settings.m_self.m_name = fmt::format("host-{:03}", index);
        settings.m_datacentre = fmt::format("dc-{}", index % 3);
        settings.m_address.m_ip = std::to_string(index);
        settings.m_random_seed = seed * 1000 + index;
        for (std::size_t seed_index = 0; seed_hosts == seeds::first_three && seed_index < 3;
             ++seed_index) {
            settings.m_seeds.push_back({std::to_string(seed_index)});
        }
    }
}

void fleet::start(std::size_t index)
{
    auto& target = m_hosts[index];
    target.m_settings.m_self.m_incarnation = ++target.m_run;
    auto started = start_host(target.m_settings, m_now, wall_ms(m_now));
    target.m_host_state = std::move(started.m_state);
    target.m_timer_at = instant::max();
    set_timer(index, m_now);
    apply(index, std::move(started.m_effects));
}

void fleet::start_all()
{
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        start(index);
    }
}

void fleet::kill(std::size_t index)
{
    m_hosts[index].m_host_state.reset();
    m_hosts[index].m_timer_at = instant::max();
}

void fleet::feed(std::size_t index, const event_body& body)
{
    auto& target = m_hosts[index];
    const auto digest_before = configuration::digest_of(target.m_host_state->m_configuration);
    apply(index, reduce(*target.m_host_state, {m_now, wall_ms(m_now), body}));
    if (configuration::digest_of(target.m_host_state->m_configuration) != digest_before) {
        target.m_paused_until = std::max(target.m_paused_until, m_now + parse_time(body));
    }
    set_timer(index, std::max(next_wakeup(*target.m_host_state), m_now + 1ms));
    if (m_after_event) {
        m_after_event(index);
    }
}

void fleet::set_timer(std::size_t index, instant at)
{
    if (m_hosts[index].m_timer_at != at) {
        m_hosts[index].m_timer_at = at;
        m_queue.push({at, ++m_order, index, m_hosts[index].m_run, nullptr});
    }
}

void fleet::step(instant until)
{
    if (m_next_expiry < until && (m_queue.empty() || m_next_expiry < m_queue.top().m_at)) {
        m_now = std::max(m_now, m_next_expiry);
        m_next_expiry = m_now + expiry_interval;
        schedule_answers(m_store.expire(m_now));
        return;
    }
    if (m_queue.empty() || m_queue.top().m_at > until) {
        m_now = until;
        return;
    }
    auto next = m_queue.top();
    m_queue.pop();
    m_now = std::max(m_now, next.m_at);
    const auto& target = m_hosts[next.m_host];
    const bool is_outdated_timer = next.m_body == nullptr && target.m_timer_at != next.m_at;
    if (!target.m_host_state || target.m_run != next.m_run || is_outdated_timer) {
        return;
    }
    if (target.m_paused_until > m_now) {
        const bool is_timer = next.m_body == nullptr;
        next.m_at = target.m_paused_until;
        m_hosts[next.m_host].m_timer_at = is_timer ? next.m_at : target.m_timer_at;
        m_queue.push(std::move(next));
        return;
    }
    feed(next.m_host, next.m_body == nullptr ? event_body{timer_fired{}} : *next.m_body);
}

void fleet::run_for(duration length)
{
    const auto until = m_now + length;
    while (m_now < until) {
        step(until);
    }
}

bool fleet::run_until(const std::function<bool()>& is_reached, duration limit)
{
    const auto until = m_now + limit;
    while (!is_reached()) {
        if (m_now >= until) {
            return false;
        }
        run_for(std::min<duration>(20ms, until - m_now));
    }
    return true;
}

void fleet::schedule(std::size_t target, duration delay, event_body body)
{
    m_queue.push({m_now + delay, ++m_order, target, m_hosts[target].m_run,
                  std::make_shared<const event_body>(std::move(body))});
}

void fleet::apply(std::size_t from, effect_list effects)
{
    for (auto& item : effects) {
        std::visit(
            overloaded{[&](const send_datagram& packet) { send(from, packet); },
                       [&](const fetch_document& wanted) { fetch(from, wanted); },
                       [&](const call_store& operation) { call(from, operation); },
                       [&](respond& reply) { m_hosts[from].m_answers.push_back(std::move(reply)); },
                       [](const auto&) {}},
            item);
    }
}

bool fleet::is_lost(std::size_t from, std::size_t target)
{
    return uniform_fraction(m_random) < m_loss ||
           (m_drops_messages && m_drops_messages(from, target));
}

std::optional<std::size_t> fleet::find_running_host(const host_address& address) const
{
    const auto index = std::stoul(address.m_ip);
    return index < m_hosts.size() && is_up(index) ? std::optional{index} : std::nullopt;
}

void fleet::send(std::size_t from, const send_datagram& item)
{
    auto& sender = m_hosts[from];
    const datagram packet{sender.m_settings.m_self, ++sender.m_sequence, {}, item.m_message};
    if (m_counts_membership_traffic && is_membership_message(item.m_message)) {
        ++sender.m_datagrams;
        sender.m_bytes += value_of(encode_datagram(packet, "secret")).size() + 28;
    }
    if (m_on_datagram) {
        m_on_datagram(from, item.m_to, packet);
    }
    const auto target = find_running_host(item.m_to);
    if (target && !is_lost(from, *target)) {
        const auto delay = from_seconds(to_seconds(m_longest_delay) * uniform_fraction(m_random));
        schedule(*target, delay + 100us,
                 datagram_received{packet.m_sender, packet.m_sequence, {}, item.m_message});
    }
}

void fleet::fetch(std::size_t from, const fetch_document& item)
{
    const auto target = find_running_host(item.m_from);
    const bool is_reachable =
        target &&
        !(m_drops_messages && (m_drops_messages(from, *target) || m_drops_messages(*target, from)));
    document_fetched answer{item.m_name, {}, nullptr, item.m_from};
    duration delay = is_reachable ? 10ms : 1s;
    if (is_reachable) {
        const auto& settings = m_hosts[from].m_settings;
        const bool is_in_same_datacentre =
            settings.m_datacentre == m_hosts[*target].m_settings.m_datacentre;
        ++(is_in_same_datacentre ? m_fetches_inside_datacentre : m_fetches_between_datacentres);
        const auto& documents = state_of(*target).m_configuration.m_documents;
        if (const auto held = documents.find(item.m_name); held != documents.end()) {
            delay += send_document(*target, held->second, answer);
        }
    }
    schedule(from, delay, std::move(answer));
}

/// Fills in the answer of a host to a fetch. Returns the time until the host's link has sent it.
duration fleet::send_document(std::size_t from, const document_in_force& held,
                              document_fetched& answer)
{
    if (!m_document_costs) {
        answer.m_document = held.m_stored;
        return {};
    }
    auto& bytes = m_sent_documents[held.m_stored.m_revision];
    if (bytes.empty()) {
        bytes = compress_document(held.m_stored, *held.m_document);
    }
    auto transferred = decompress_document(bytes).value();
    answer.m_document = std::move(transferred.m_stored);
    answer.m_parsed_document = std::move(transferred.m_parsed_document);
    auto& sender = m_hosts[from];
    sender.m_link_free_at =
        std::max(sender.m_link_free_at, m_now) +
        from_seconds(static_cast<double>(bytes.size()) / m_document_costs->m_link_rate);
    return sender.m_link_free_at - m_now;
}

/// Returns how long a host parses the documents of an event that come as text alone.
duration fleet::parse_time(const event_body& body) const
{
    if (!m_document_costs) {
        return {};
    }
    std::size_t text_bytes = 0;
    if (const auto* const fetched = std::get_if<document_fetched>(&body);
        fetched != nullptr && fetched->m_document && fetched->m_parsed_document == nullptr) {
        text_bytes = fetched->m_document->m_text.size();
    }
    if (const auto* const response = std::get_if<store_response>(&body); response != nullptr) {
        text_bytes = unparsed_bytes(response->m_outcome);
    }
    return from_seconds(static_cast<double>(text_bytes) / m_document_costs->m_parse_rate);
}

void fleet::call(std::size_t from, const call_store& item)
{
    const bool is_read = std::holds_alternative<store_read>(item.m_operation) ||
                         std::holds_alternative<store_watch>(item.m_operation);
    m_store_calls.push_back({m_now, item.m_purpose, !is_read});
    const store_response unknown{item.m_operation_id, item.m_purpose,
                                 store_failure{store_failure_kind::unknown, {}}};
    if (m_store_mode == store_mode::unreachable ||
        (m_is_partitioned_from_store && m_is_partitioned_from_store(from))) {
        schedule(from, store_timeout,
                 store_response{item.m_operation_id, item.m_purpose,
                                store_failure{store_failure_kind::not_done, {}}});
        return;
    }
    if (m_is_ignored_by_store && m_is_ignored_by_store(from)) {
        schedule(from, silence_timeout, unknown);
        return;
    }
    const bool is_of_document = item.m_purpose == store_purpose::document_read ||
                                item.m_purpose == store_purpose::document_watch;
    if (m_run_document_call && is_of_document) {
        m_run_document_call(from, item);
        return;
    }
    auto answers = m_store.handle(from, item, m_now);
    const bool is_write = std::holds_alternative<store_compare_and_swap>(item.m_operation);
    const bool is_unanswered = m_store_mode == store_mode::unanswered ||
                               (is_write && uniform_fraction(m_random) < m_lost_store_answers);
    for (auto& due : answers) {
        if (is_unanswered && due.m_response.m_operation_id == item.m_operation_id) {
            due.m_response = unknown;
        }
    }
    schedule_answers(answers);
}

void fleet::answer_call(std::size_t target, const store_response& response)
{
    schedule(target, store_latency, response);
}

void fleet::schedule_answers(const std::vector<store_stub::answer>& answers)
{
    for (const auto& due : answers) {
        if (m_is_ignored_by_store && m_is_ignored_by_store(due.m_host)) {
            schedule(due.m_host, silence_timeout,
                     store_response{due.m_response.m_operation_id, due.m_response.m_purpose,
                                    store_failure{store_failure_kind::unknown, {}}});
            continue;
        }
        const bool is_failure = std::holds_alternative<store_failure>(due.m_response.m_outcome);
        const bool is_delayed =
            m_watch_delay && due.m_response.m_purpose == store_purpose::document_watch;
        const auto delay = is_delayed ? m_watch_delay(due.m_host) : duration{};
        schedule(due.m_host, (is_failure ? store_timeout : store_latency) + delay, due.m_response);
    }
}

void fleet::cut_watches()
{
    for (const auto& waiting : std::exchange(m_store.m_watches, {})) {
        schedule(waiting.m_host, store_latency,
                 store_response{waiting.m_call.m_operation_id, waiting.m_call.m_purpose,
                                store_failure{store_failure_kind::unknown, {}}});
    }
}

member_status fleet::status_seen_by(std::size_t viewer, std::size_t subject) const
{
    const auto* const member = membership::find_member(state_of(viewer).m_membership,
                                                       m_hosts[subject].m_settings.m_self.m_name);
    const bool is_present_incarnation =
        member != nullptr && member->m_record.m_identity.m_incarnation == m_hosts[subject].m_run;
    return is_present_incarnation ? member->m_status : member_status::dead;
}

bool fleet::all_see(std::size_t subject, member_status status) const
{
    for (std::size_t viewer = 0; viewer < m_hosts.size(); ++viewer) {
        if (viewer != subject && is_up(viewer) && status_seen_by(viewer, subject) != status) {
            return false;
        }
    }
    return true;
}

bool fleet::has_converged() const
{
    for (std::size_t subject = 0; subject < m_hosts.size(); ++subject) {
        if (is_up(subject) && !all_see(subject, member_status::alive)) {
            return false;
        }
    }
    return true;
}

std::uint64_t fleet::revision(std::size_t index, std::string_view document) const
{
    const auto& documents = state_of(index).m_configuration.m_documents;
    const auto held = documents.find(document);
    return held == documents.end() ? 0 : held->second.m_stored.m_revision;
}

} // namespace chivevane::test::control
