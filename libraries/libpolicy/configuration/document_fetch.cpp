#include "libpolicy/configuration/document_fetch.h"

#include "libpolicy/configuration/documents_in_force.h"

#include <algorithm>
#include <vector>

namespace chivevane::configuration {

namespace {

/// Time until a fetch is repeated whose answer is missing: about the time that 1 MB takes at
/// 10 Mbit/s.
constexpr duration fetch_retry_interval = 1s;

/// Time without an answer after which a document is fetched from another peer of this data centre
/// as well.
constexpr duration alternative_delay = 400ms;

/// The same for a peer of another data centre, as traffic between data centres is expensive.
constexpr duration remote_alternative_delay = 800ms;

constexpr std::size_t max_alternatives = 4;

/// Shortest delay of a fetch from another data centre, in which a peer of this data centre may get
/// the document: several round trips to the store and between hosts.
constexpr duration remote_fetch_delay = 100ms;

/// Random time added to that delay, so that the first host to fetch the document announces it to
/// the others of its data centre before they fetch it too.
constexpr duration remote_fetch_jitter = 400ms;

/// Remembers a peer that can be asked if the fetch is not answered.
void add_alternative(pending_fetch& pending, const document_source& source)
{
    auto& alternatives = pending.m_alternatives;
    const bool is_known =
        source.m_address == pending.m_source.m_address ||
        std::any_of(alternatives.begin(), alternatives.end(),
                    [&](const auto& each) { return each.m_address == source.m_address; });
    if (!is_known && alternatives.size() < max_alternatives) {
        alternatives.push_back(source);
    }
}

/// Returns the alternative to ask next: the first of this data centre, or else the first.
std::vector<document_source>::const_iterator next_alternative(const pending_fetch& pending)
{
    const auto& alternatives = pending.m_alternatives;
    const auto local = std::find_if(alternatives.begin(), alternatives.end(), [](const auto& each) {
        return each.m_locality == peer_locality::same_datacentre;
    });
    return local == alternatives.end() ? alternatives.begin() : local;
}

/// Returns when the next alternative is asked; `instant::max()` if there is none.
instant alternative_due_at(const pending_fetch& pending)
{
    if (pending.m_alternatives.empty()) {
        return instant::max();
    }
    const bool is_local = next_alternative(pending)->m_locality == peer_locality::same_datacentre;
    return pending.m_requested_at + (is_local ? alternative_delay : remote_alternative_delay);
}

/// Fetches the document from the next alternative.
void fetch_from_alternative(pending_fetch& pending, reducer_context& context)
{
    const auto next = next_alternative(pending);
    pending.m_source = *next;
    pending.m_requested_at = context.m_now;
    pending.m_alternatives.erase(next);
    emit(context, fetch_document{pending.m_source.m_address, pending.m_wanted.m_name});
}

} // namespace

void fetch(configuration_state& state, reducer_context& context, const document_source& source,
           const document_revision& wanted)
{
    const auto pending = state.m_fetches.find(wanted.m_name);
    const bool is_in_progress =
        pending != state.m_fetches.end() &&
        pending->second.m_wanted.m_revision >= wanted.m_revision &&
        context.m_now - pending->second.m_requested_at < fetch_retry_interval;
    if (is_in_progress) {
        add_alternative(pending->second, source);
        return;
    }
    state.m_fetches[wanted.m_name] = {wanted, context.m_now, source, {}};
    emit(context, fetch_document{source.m_address, wanted.m_name});
}

void defer_fetch(configuration_state& state, reducer_context& context, const host_address& address,
                 const document_revision& wanted)
{
    if (const auto found = state.m_deferred_fetches.find(wanted.m_name);
        found != state.m_deferred_fetches.end()) {
        if (found->second.m_wanted.m_revision < wanted.m_revision) {
            found->second.m_wanted = wanted;
            found->second.m_from = address;
        }
        return;
    }
    const auto wait = remote_fetch_delay + from_seconds(to_seconds(remote_fetch_jitter) *
                                                        uniform_fraction(context.m_random));
    state.m_deferred_fetches[wanted.m_name] = {wanted, address, context.m_now + wait};
}

void start_deferred_fetches(configuration_state& state, reducer_context& context)
{
    std::erase_if(state.m_deferred_fetches, [&](const auto& entry) {
        const auto& [name, each] = entry;
        const bool is_due = context.m_now >= each.m_due_at;
        if (is_due && is_newer(state, each.m_wanted)) {
            fetch(state, context, {each.m_from, peer_locality::other_datacentre}, each.m_wanted);
        }
        return is_due;
    });
}

void ask_alternatives(configuration_state& state, reducer_context& context)
{
    for (auto& [name, pending] : state.m_fetches) {
        if (!is_newer(state, pending.m_wanted)) {
            pending.m_alternatives.clear(); // The document came in force from elsewhere.
        }
        else if (context.m_now >= alternative_due_at(pending)) {
            fetch_from_alternative(pending, context);
        }
    }
}

void on_fetch_failed(configuration_state& state, reducer_context& context, const std::string& name,
                     const host_address& from)
{
    const auto pending = state.m_fetches.find(name);
    if (pending == state.m_fetches.end() || pending->second.m_source.m_address != from) {
        return;
    }
    if (pending->second.m_alternatives.empty()) {
        state.m_fetches.erase(pending);
        return;
    }
    fetch_from_alternative(pending->second, context);
}

instant next_alternative_due(const configuration_state& state)
{
    auto earliest = instant::max();
    for (const auto& [name, pending] : state.m_fetches) {
        earliest = std::min(earliest, alternative_due_at(pending));
    }
    return earliest;
}

} // namespace chivevane::configuration
