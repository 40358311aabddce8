#include "libpolicy/limits_fleet.h"

#include "libpolicy/limits/roster.h"

#include <algorithm>
#include <fmt/format.h>

namespace chivevane::test {

namespace {

constexpr duration clock_offset = 48h; // Local clocks do not start at zero.

std::size_t index_of(const host_address& address)
{
    return address.m_control_port;
}

} // namespace

limits_fleet::limits_fleet(fleet_options options) : m_options(options)
{
    m_random.seed(options.m_seed);
    for (std::size_t i = 0; i < options.m_hosts; ++i) {
        m_process_of.push_back(i);
        add_host(i, 1);
    }
    for (std::size_t i = 0; i < options.m_hosts; ++i) {
        for (std::size_t j = 0; j < options.m_hosts; ++j) {
            set_view(i, j, member_status::alive);
        }
    }
}

void limits_fleet::add_host(std::size_t name_index, std::uint64_t incarnation)
{
    auto host = std::make_unique<fleet_host>();
    host->m_settings.m_self = {fmt::format("host-{:03}", name_index), incarnation};
    host->m_settings.m_address.m_control_port = static_cast<std::uint16_t>(name_index);
    host->m_settings.m_datacentre = fmt::format("centre-{}", name_index % 3);
    host->m_random.seed(m_random());
    host->m_clock_rate = 1 + m_options.m_clock_error * (2 * uniform_fraction(m_random) - 1);
    m_hosts.push_back(std::move(host));
}

void limits_fleet::set_view(std::size_t host, std::size_t other, member_status status)
{
    const auto process = m_process_of[index_of(m_hosts[other]->m_settings.m_address)];
    const auto& settings = m_hosts[process]->m_settings;
    auto& seen = m_hosts[host]->m_members.m_members[settings.m_self.m_name];
    seen.m_record.m_identity = settings.m_self;
    seen.m_record.m_address = settings.m_address;
    seen.m_record.m_datacentre = settings.m_datacentre;
    seen.m_status = status;
}

void limits_fleet::start_with_equal_shares()
{
    roster_record record;
    for (const auto& host : m_hosts) {
        limits::add_entry(record, host->m_settings.m_self);
    }
    for (std::size_t i = 0; m_hosts.size() >= 3 && i < m_hosts.size(); ++i) {
        std::vector<host_identity> witnesses;
        for (std::size_t k = 0; k < std::min<std::size_t>(7, m_hosts.size()); ++k) {
            witnesses.push_back(m_hosts[(i + k) % m_hosts.size()]->m_settings.m_self);
        }
        limits::assign_witnesses(record, m_hosts[i]->m_settings.m_self, std::move(witnesses));
    }
    limits::distribute_free_units(record);
    m_stored.m_value = limits::encode_roster(record);
    m_stored.m_version = 1;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        start_host(i);
    }
}

void limits_fleet::start_host(std::size_t index)
{
    deliver(index, [](fleet_host& host, reducer_context& context) {
        limits::start(host.m_limits, context);
    });
}

std::size_t limits_fleet::replace_host(std::size_t index, bool is_old_kept_running)
{
    const auto name_index = index_of(m_hosts[index]->m_settings.m_address);
    auto& old = *m_hosts[m_process_of[name_index]];
    old.m_is_running = old.m_is_running && is_old_kept_running;
    const auto incarnation = old.m_settings.m_self.m_incarnation + 1;
    add_host(name_index, incarnation);
    const auto fresh = m_hosts.size() - 1;
    m_process_of[name_index] = fresh;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        set_view(i, fresh, member_status::alive);
        set_view(fresh, i, member_status::alive);
    }
    start_host(fresh);
    return fresh;
}

void limits_fleet::schedule(duration at, std::function<void()> action)
{
    m_queue.push({at, ++m_last_order, std::move(action)});
}

void limits_fleet::run_until(duration end)
{
    while (!m_queue.empty() && m_queue.top().m_at <= end) {
        auto next = m_queue.top();
        m_queue.pop();
        m_now = next.m_at;
        next.m_action();
    }
    m_now = end;
}

instant limits_fleet::local_time(const fleet_host& host) const
{
    return instant{clock_offset + from_seconds(to_seconds(m_now) * host.m_clock_rate)};
}

void limits_fleet::deliver(std::size_t index,
                           std::function<void(fleet_host&, reducer_context&)> handler)
{
    auto& host = *m_hosts[index];
    if (!host.m_is_running) {
        return;
    }
    if (host.m_paused_until > m_now) {
        schedule(host.m_paused_until,
                 [this, index, handler = std::move(handler)] { deliver(index, handler); });
        return;
    }
    effect_list effects;
    reducer_context context{local_time(host), 0,      host.m_settings, host.m_random,
                            host.m_last_id,   effects};
    handler(host, context);
    collect_deferred_decisions(host);
    carry_out(index, effects);
    set_wakeup(index);
}

void limits_fleet::collect_deferred_decisions(fleet_host& host)
{
    for (const auto& deferred : limits::take_deferred_decisions(host.m_limits)) {
        auto& request = m_requests[deferred.m_request_id];
        request.m_decided_at = m_now;
        request.m_is_granted = std::holds_alternative<limits::granted>(deferred.m_decision);
    }
}

void limits_fleet::set_wakeup(std::size_t index)
{
    auto& host = *m_hosts[index];
    const auto due = limits::next_wakeup(host.m_limits);
    if (due == instant::max()) {
        return;
    }
    const auto local_wait = std::max(duration{0}, due - local_time(host));
    const auto at = m_now + from_seconds(to_seconds(local_wait) / host.m_clock_rate) + 1us;
    if (host.m_next_wakeup >= duration{0} && host.m_next_wakeup <= at) {
        return;
    }
    host.m_next_wakeup = at;
    schedule(at, [this, index, at] {
        if (m_hosts[index]->m_next_wakeup != at) {
            return;
        }
        deliver(index, [](fleet_host& woken, reducer_context& context) {
            woken.m_next_wakeup = duration{-1};
            limits::on_timer(woken.m_limits, context, woken.m_members);
        });
    });
}

void limits_fleet::carry_out(std::size_t index, const effect_list& effects)
{
    for (const auto& item : effects) {
        if (const auto* const packet = std::get_if<send_datagram>(&item)) {
            transmit(index, *packet);
        }
        else if (const auto* const call = std::get_if<call_store>(&item)) {
            call_store_at(index, *call);
        }
    }
}

duration limits_fleet::random_delay()
{
    const auto spread = to_seconds(m_options.m_longest_delay - m_options.m_shortest_delay);
    const auto usual =
        m_options.m_shortest_delay + from_seconds(spread * uniform_fraction(m_random));
    return chance(m_options.m_delayed) ? usual + from_seconds(3 * uniform_fraction(m_random))
                                       : usual;
}

void limits_fleet::transmit(std::size_t from, const send_datagram& packet)
{
    ++m_datagrams;
    const auto name_index = index_of(packet.m_to);
    if (chance(m_options.m_loss) || m_cut.contains({from, name_index})) {
        return;
    }
    const int copies = chance(m_options.m_duplicated) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        schedule(
            m_now + random_delay(),
            [this, name_index, sender = m_hosts[from]->m_settings.m_self,
             carried = packet.m_message] { receive(m_process_of[name_index], sender, carried); });
    }
}

void limits_fleet::receive(std::size_t to, const host_identity& sender, const message& received)
{
    deliver(to, [sender, received](fleet_host& host, reducer_context& context) {
        std::visit(overloaded{
                       [&](const loan_request& request) {
                           limits::on_loan_request(host.m_limits, context, host.m_members, sender,
                                                   request);
                       },
                       [&](const loan_response& response) {
                           limits::on_loan_response(host.m_limits, context, host.m_members, sender,
                                                    response);
                       },
                       [&](const loan_report& report) {
                           limits::on_loan_report(host.m_limits, context, sender, report);
                       },
                       [&](const share_lease_request& request) {
                           limits::on_share_lease_request(host.m_limits, context, host.m_members,
                                                          sender, request);
                       },
                       [&](const share_lease_response& response) {
                           limits::on_share_lease_response(host.m_limits, context, sender,
                                                           response);
                       },
                       [](const auto&) {},
                   },
                   received);
    });
}

void limits_fleet::call_store_at(std::size_t index, const call_store& call)
{
    ++m_store_calls;
    schedule(m_now + random_delay(), [this, index, call] {
        store_outcome outcome = store_failure{};
        if (m_store_is_up) {
            outcome = apply_to_store(call.m_operation);
        }
        if (chance(m_options.m_answers_lost)) {
            outcome = store_failure{};
        }
        schedule(m_now + random_delay(), [this, index, id = call.m_operation_id, outcome] {
            deliver(index, [id, outcome](fleet_host& host, reducer_context& context) {
                limits::on_store_response(host.m_limits, context, id, outcome);
            });
        });
    });
}

store_outcome limits_fleet::apply_to_store(const store_operation& operation)
{
    const auto* const write = std::get_if<store_compare_and_swap>(&operation);
    if (write == nullptr) {
        store_entries entries{m_stored.m_version, {}};
        if (m_stored.m_version > 0) {
            entries.m_entries.push_back(m_stored);
        }
        return entries;
    }
    if (write->m_expected_version != m_stored.m_version) {
        return store_conflict{m_stored};
    }
    m_stored.m_value = write->m_value;
    ++m_stored.m_version;
    return store_written{m_stored.m_version};
}

roster_record limits_fleet::stored_roster() const
{
    return value_of(limits::decode_roster(m_stored.m_value));
}

void limits_fleet::request(std::size_t index, std::size_t organisation)
{
    const auto request_id = m_requests.size();
    m_requests.push_back({organisation, m_now});
    deliver(index, [this, organisation, request_id](fleet_host& host, reducer_context& context) {
        const auto& asked = m_organisations[organisation];
        const auto decision = limits::take_token(host.m_limits, context, host.m_members,
                                                 asked.m_key, asked.m_limit, request_id);
        if (!std::holds_alternative<limits::waiting>(decision)) {
            m_requests[request_id].m_decided_at = m_now;
            m_requests[request_id].m_is_granted = std::holds_alternative<limits::granted>(decision);
        }
    });
}

void limits_fleet::leave(std::size_t index)
{
    deliver(index, [](fleet_host& host, reducer_context& context) {
        limits::leave(host.m_limits, context);
    });
}

void limits_fleet::declare_dead(std::size_t index, std::string_view name)
{
    deliver(index, [dead = std::string{name}](fleet_host& host, reducer_context& context) {
        limits::declare_dead(host.m_limits, context, dead);
    });
}

bool limits_fleet::is_running(std::string_view name) const
{
    return std::any_of(m_hosts.begin(), m_hosts.end(), [&](const auto& host) {
        return host->m_is_running && host->m_settings.m_self.m_name == name;
    });
}

void limits_fleet::pause(std::size_t index, duration length)
{
    m_hosts[index]->m_paused_until = m_now + length;
}

double largest_excess(const std::vector<duration>& starts, const rate_limit& limit)
{
    double tokens = limit.m_burst;
    double excess = -limit.m_burst;
    duration last{};
    for (const auto at : starts) {
        tokens = std::min(limit.m_burst, tokens + to_seconds(at - last) * limit.m_rate) - 1;
        last = at;
        excess = std::max(excess, -tokens);
    }
    return excess;
}

std::vector<bool> exact_decisions(const std::vector<duration>& arrivals, const rate_limit& limit)
{
    std::vector<bool> decisions;
    double tokens = limit.m_burst;
    duration last{};
    for (const auto at : arrivals) {
        tokens = std::min(limit.m_burst, tokens + to_seconds(at - last) * limit.m_rate);
        last = at;
        decisions.push_back(tokens >= 1);
        tokens -= tokens >= 1 ? 1 : 0;
    }
    return decisions;
}

} // namespace chivevane::test
