#include "libpolicy/limits/meter_reach.h"

#include "libpolicy/membership/membership.h"
#include "libpolicy/membership/possible_hosts.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <span>

namespace chivevane::limits {

namespace {

/// How long hosts are asked after the tokens of an organisation ran short.
constexpr duration asking_period = 1s;

/// Shortest time between two rounds of requests. It grows with the fleet, so that the number of
/// requests in a second does not.
constexpr duration min_round_interval = 100ms;
constexpr duration round_interval_per_host = 1ms;

/// Rounds that a host may leave unanswered, as datagrams get lost.
constexpr int rounds_until_unreached = 4;

/// Rounds after which a host is asked again that answered, or that counts as not reached.
constexpr int rounds_between_checks = 5;

/// How long a host counts as reached that was heard directly although gossip does not know it as
/// usable.
constexpr duration direct_contact_lifetime = 1s;

constexpr duration update_interval = 50ms;

/// How long the lowest share counts. It is longer than hosts avoid a meter that was silent, so that
/// two meters which reach each other again do not both grant the whole rate.
constexpr duration lowest_share_lifetime = 6s;

/// Number of contacts from which on those with hosts that are gone are forgotten.
constexpr std::size_t min_contacts = 64;

duration round_interval_of(const membership_state& members)
{
    const auto hosts = static_cast<std::int64_t>(membership::count_possible_hosts(members));
    return std::max<duration>(min_round_interval, hosts * round_interval_per_host);
}

host_contact& find_or_add_contact(meter_reach& reach, std::string_view host)
{
    if (const auto found = reach.m_contacts.find(host); found != reach.m_contacts.end()) {
        return found->second;
    }
    return reach.m_contacts[std::string{host}];
}

/// Whether a host has been asked and may still answer in time.
bool is_answer_due(const host_contact& contact, duration round_interval, instant now)
{
    return contact.m_asked_at &&
           now - *contact.m_asked_at < rounds_until_unreached * round_interval;
}

bool is_asking_due(const host_contact& contact, duration round_interval, instant now)
{
    const auto last_contact = std::max(contact.m_heard_at, contact.m_last_asked_at);
    return is_answer_due(contact, round_interval, now) || last_contact == instant{} ||
           now - last_contact >= rounds_between_checks * round_interval;
}

bool is_reached(const meter_reach& reach, const membership::possible_host& host,
                duration round_interval, instant now)
{
    const auto found = reach.m_contacts.find(host.m_name);
    const auto contact = found == reach.m_contacts.end() ? host_contact{} : found->second;
    const bool is_known_as_usable =
        host.m_member == nullptr || membership::is_usable(*host.m_member);
    if (!is_known_as_usable) {
        return contact.m_heard_at != instant{} &&
               now - contact.m_heard_at < direct_contact_lifetime;
    }
    if (!contact.m_asked_at || is_answer_due(contact, round_interval, now)) {
        return true;
    }
    // A host without a direct path is reached by way of others if a round of it began since.
    return host.m_member != nullptr && host.m_member->m_last_round_at > *contact.m_asked_at;
}

/// Forgets contacts with hosts that are gone, once there are many of them.
void forget_other_hosts(meter_reach& reach, std::span<const membership::possible_host> hosts)
{
    if (reach.m_contacts.size() <= 2 * hosts.size() + min_contacts) {
        return;
    }
    std::set<std::string_view> names;
    for (const auto& host : hosts) {
        names.insert(host.m_name);
    }
    std::erase_if(reach.m_contacts,
                  [&names](const auto& each) { return !names.contains(each.first); });
}

/// Records in the log that this host reaches all others again, or no longer.
void record_change(reducer_context& context, double before, double after)
{
    if ((before < 1) == (after < 1)) {
        return;
    }
    emit(context, record_event{"meter-reach-changed",
                               {{"share", fmt::format("{:.2f}", after)}},
                               record_target::timeline_and_log});
}

} // namespace

void record_contact(meter_reach& reach, std::string_view host, instant now)
{
    auto& contact = find_or_add_contact(reach, host);
    contact.m_heard_at = now;
    contact.m_asked_at.reset();
}

void record_no_answer(meter_reach& reach, std::string_view host, instant since)
{
    auto& contact = find_or_add_contact(reach, host);
    if (contact.m_heard_at < since) {
        contact.m_asked_at = std::min(since, contact.m_asked_at.value_or(since));
    }
}

void require_reach(meter_reach& reach, instant now)
{
    if (reach.m_needed_until < now) {
        reach.m_next_round = now;
    }
    reach.m_needed_until = now + asking_period;
}

double reached_share(meter_reach& reach, reducer_context& context, const membership_state& members)
{
    if (context.m_now < reach.m_next_update) {
        return reach.m_share;
    }
    reach.m_next_update = context.m_now + update_interval;
    const auto hosts = membership::possible_hosts(members);
    forget_other_hosts(reach, hosts);
    const auto interval = round_interval_of(members);
    const auto reached = std::count_if(hosts.begin(), hosts.end(), [&](const auto& host) {
        return is_reached(reach, host, interval, context.m_now);
    });
    const auto share = static_cast<double>(reached + 1) / static_cast<double>(hosts.size() + 1);
    if (share <= reach.m_share || context.m_now - reach.m_lowest_at >= lowest_share_lifetime) {
        record_change(context, reach.m_share, share);
        reach.m_share = share;
        reach.m_lowest_at = context.m_now;
    }
    return reach.m_share;
}

void ask_hosts(meter_reach& reach, reducer_context& context, const membership_state& members)
{
    const auto now = context.m_now;
    if (now >= reach.m_needed_until || now < reach.m_next_round) {
        return;
    }
    const auto interval = round_interval_of(members);
    reach.m_next_round = now + interval;
    for (const auto& host : membership::possible_hosts(members)) {
        auto& contact = find_or_add_contact(reach, host.m_name);
        if (!is_asking_due(contact, interval, now)) {
            continue;
        }
        contact.m_asked_at = contact.m_asked_at.value_or(now);
        contact.m_last_asked_at = now;
        emit(context,
             send_datagram{*host.m_address, contact_request{context.m_settings.m_address}});
    }
}

instant next_asking(const meter_reach& reach)
{
    return reach.m_next_round < reach.m_needed_until ? reach.m_next_round : instant::max();
}

} // namespace chivevane::limits
