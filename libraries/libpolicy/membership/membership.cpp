#include "libpolicy/membership/membership.h"

namespace chivevane::membership {

namespace {

constexpr duration heartbeat_interval = 500ms;
constexpr duration death_timeout = 3s; // Six heartbeats: single losses must not look like death.

void send_heartbeats(membership_state& state, context& surroundings)
{
    for (const auto& seed : surroundings.m_settings.m_seeds) {
        if (seed != surroundings.m_settings.m_address) {
            emit(surroundings, send_datagram{seed, state.m_self});
        }
    }
    for (const auto& [name, peer] : state.m_members) {
        if (name != state.m_self.m_identity.m_name && peer.m_status != member_status::dead) {
            emit(surroundings, send_datagram{peer.m_latest.m_address, state.m_self});
        }
    }
}

void expire_silent_members(membership_state& state, context& surroundings)
{
    for (auto& [name, peer] : state.m_members) {
        const bool is_self = name == state.m_self.m_identity.m_name;
        if (!is_self && surroundings.m_now - peer.m_heard_at > death_timeout) {
            peer.m_status = member_status::dead;
        }
    }
}

void update_self(membership_state& state, instant now)
{
    state.m_members[state.m_self.m_identity.m_name] = {state.m_self, state.m_self.m_status, now};
}

} // namespace

void start(membership_state& state, context& surroundings)
{
    const auto& settings = surroundings.m_settings;
    state.m_self.m_identity = settings.m_self;
    state.m_self.m_datacentre = settings.m_datacentre;
    state.m_self.m_address = settings.m_address;
    update_self(state, surroundings.m_now);
    state.m_next_heartbeat = surroundings.m_now;
}

void on_heartbeat(membership_state& state, context& surroundings, const heartbeat& news)
{
    auto& known = state.m_members[news.m_identity.m_name];
    if (news.m_identity.m_incarnation < known.m_latest.m_identity.m_incarnation) {
        return;
    }
    known = {news, news.m_status, surroundings.m_now};
}

void on_store_outcome(membership_state&, context&, const store_outcome&) {}

void on_timer(membership_state& state, context& surroundings)
{
    if (surroundings.m_now < state.m_next_heartbeat) {
        return;
    }
    state.m_next_heartbeat = surroundings.m_now + heartbeat_interval;
    expire_silent_members(state, surroundings);
    send_heartbeats(state, surroundings);
}

void set_own_upstreams(membership_state& state, std::vector<upstream_summary> upstreams)
{
    state.m_self.m_upstreams = std::move(upstreams);
    state.m_members[state.m_self.m_identity.m_name].m_latest = state.m_self;
}

void set_documents_digest(membership_state& state, std::uint64_t digest)
{
    state.m_self.m_documents_digest = digest;
}

void leave(membership_state& state, context& surroundings)
{
    state.m_self.m_status = member_status::leaving;
    update_self(state, surroundings.m_now);
    send_heartbeats(state, surroundings);
}

const member* find_member(const membership_state& state, std::string_view name)
{
    const auto found = state.m_members.find(name);
    return found == state.m_members.end() ? nullptr : &found->second;
}

bool is_usable(const member& peer)
{
    return peer.m_status == member_status::alive;
}

instant next_wakeup(const membership_state& state)
{
    return state.m_next_heartbeat;
}

} // namespace chivevane::membership
