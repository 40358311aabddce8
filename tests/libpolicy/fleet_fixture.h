#pragma once

#include "libpolicy/reduce.h"
#include "libpolicy/store_stub.h"
#include "libwire/datagram.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace chivevane::test::control {

/// How the store behaves.
enum class store_mode : std::uint8_t {
    up,
    unreachable, ///< It executes no operation and calls to it time out.
    unanswered   ///< It executes operations, but calls to it time out with an unknown outcome.
};

/// What documents cost hosts with slow links and little processor time.
struct document_costs {
    double m_link_rate = 0;  ///< Bytes per second that a host can send.
    double m_parse_rate = 0; ///< Bytes of text per second that a host can parse.
};

/// Several hosts, each a complete reducer, that exchange datagrams over a simulated network and
/// share a store, in simulated time. The same seed gives the same run.
struct fleet {
    struct host {
        host_settings m_settings;
        std::optional<host_state> m_host_state; ///< Empty while the process is not running.
        std::uint64_t m_run = 0;                ///< Incarnation: the number of starts.
        std::uint64_t m_sequence = 0;
        instant m_paused_until; ///< The process handles no event until then.
        instant m_timer_at = instant::max();
        instant m_link_free_at; ///< The end of the last document on the host's link.
        std::vector<respond> m_answers;
        std::uint64_t m_datagrams =
            0; ///< Membership datagrams sent while `m_counts_membership_traffic` is set.
        std::uint64_t m_bytes = 0; ///< Their size, with 28 bytes of IP and UDP headers each.
    };
    struct scheduled_event {
        instant m_at;
        std::uint64_t m_order = 0;
        std::size_t m_host = 0;
        std::uint64_t m_run = 0; ///< The incarnation of the host that it is meant for.
        std::shared_ptr<const event_body> m_body; ///< Null for a timer.

        bool operator>(const scheduled_event& other) const
        {
            return std::tie(m_at, m_order) > std::tie(other.m_at, other.m_order);
        }
    };

    /// The seed addresses that every host is configured with.
    enum class seeds : std::uint8_t { none, first_three };

    /// Creates `count` hosts in three data centres, none of them running yet.
    fleet(std::size_t count, std::uint64_t seed, seeds seed_hosts = seeds::first_three);

    /// Starts the process of a host with a new incarnation.
    void start(std::size_t host);
    void start_all();

    /// Ends the process of a host without a shutdown.
    void kill(std::size_t host);

    void run_for(duration length);

    /// Runs until `is_reached` returns true, but for `limit` at most. Returns whether it did.
    bool run_until(const std::function<bool()>& is_reached, duration limit);

    /// Lets a running host handle an event now.
    void feed(std::size_t host, const event_body& body);

    const host_state& state_of(std::size_t index) const { return *m_hosts[index].m_host_state; }

    /// Returns the status of `subject` in the membership of `viewer`; dead unless its present
    /// incarnation is known there.
    member_status status_seen_by(std::size_t viewer, std::size_t subject) const;
    bool is_up(std::size_t index) const { return m_hosts[index].m_host_state.has_value(); }

    /// Returns whether all other running hosts see `subject` with `status` in its present
    /// incarnation.
    bool all_see(std::size_t subject, member_status status) const;

    /// Returns whether all running hosts see each other alive.
    bool has_converged() const;

    /// Returns the revision of a document in force on a host; 0 if it has none.
    std::uint64_t revision(std::size_t index, std::string_view document) const;

    instant m_now{1h};
    std::vector<host> m_hosts;
    store_stub m_store;
    store_mode m_store_mode = store_mode::up;
    random_engine m_random;
    double m_loss = 0;               ///< Probability that a datagram is lost.
    double m_lost_store_answers = 0; ///< Probability that a write takes effect without an answer.

    /// Longest random delay of a datagram. Datagrams may overtake each other.
    duration m_longest_delay = 3ms;

    bool m_counts_membership_traffic = false;

    /// Called with the sender, the address and the message of each datagram; may be empty.
    std::function<void(std::size_t, const host_address&, const datagram&)> m_on_datagram;

    /// Whether messages from the first host to the second are lost; may be empty.
    std::function<bool(std::size_t, std::size_t)> m_drops_messages;

    /// Whether a host cannot reach the store; may be empty.
    std::function<bool(std::size_t)> m_is_partitioned_from_store;

    /// Whether the store accepts a host's connections and calls but answers none; may be empty.
    std::function<bool(std::size_t)> m_is_ignored_by_store;

    /// Time by which the store's answer to a watch of a host is delayed; may be empty.
    std::function<duration(std::size_t)> m_watch_delay;

    /// Runs the calls on documents in place of `m_store`, and answers them by `answer_call`; may be
    /// empty.
    std::function<void(std::size_t, const call_store&)> m_run_document_call;
    void answer_call(std::size_t target, const store_response& response);

    /// Ends all waiting watches without an answer.
    void cut_watches();

    /// A call of any host to the store.
    struct store_call {
        instant m_at;
        store_purpose m_purpose;
        bool m_is_write = false;
    };
    std::vector<store_call> m_store_calls;

    /// If set, documents are sent between hosts as by a host process, and hosts handle nothing else
    /// while they parse one. Otherwise documents cost nothing.
    std::optional<document_costs> m_document_costs;

    std::size_t m_fetches_inside_datacentre = 0;   ///< Document fetches inside a data centre.
    std::size_t m_fetches_between_datacentres = 0; ///< Document fetches between data centres.

    /// Called with the host after each event that it handled; may be empty.
    std::function<void(std::size_t)> m_after_event;

private:
    void schedule(std::size_t target, duration delay, event_body body);
    void apply(std::size_t from, effect_list effects);
    void send(std::size_t from, const send_datagram& item);
    void fetch(std::size_t from, const fetch_document& item);
    duration send_document(std::size_t from, const document_in_force& held,
                           document_fetched& answer);
    duration parse_time(const event_body& body) const;
    void call(std::size_t from, const call_store& item);
    void schedule_answers(const std::vector<store_stub::answer>& answers);
    bool is_lost(std::size_t from, std::size_t target);
    std::optional<std::size_t> find_running_host(const host_address& address) const;
    void set_timer(std::size_t index, instant at);
    void step(instant until);

    std::priority_queue<scheduled_event, std::vector<scheduled_event>, std::greater<>> m_queue;
    std::uint64_t m_order = 0;
    instant m_next_expiry;
    std::map<std::uint64_t, std::string> m_sent_documents; ///< Answers to fetches by revision.
};

} // namespace chivevane::test::control
