#pragma once

#include "libpolicy/reduce.h"
#include "libpolicy/store_stub.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivevane::test {

/// The faults of the network between hosts and to upstreams. All members that are not durations are
/// probabilities from 0 to 1.
struct network_faults {
    double m_datagram_loss = 0;
    double m_duplicated = 0; ///< A datagram or request arrives twice, the second time late.
    double m_silent = 0;  ///< A connection loses all messages from some point on, without an error.
    double m_broken = 0;  ///< A connection breaks at some point.
    double m_refused = 0; ///< A connection cannot be made.
    double m_swapped_answers = 0; ///< An answer belongs to another request.
    double m_delayed = 0; ///< A message is delayed by up to `m_max_delay`, not a millisecond.
    duration m_max_delay = 2s;
    duration m_max_copy_delay = 60s; ///< Longest delay of a second copy.
};

/// A request of a caller and the answer that the caller received.
struct caller_record {
    std::string m_id;
    request_head m_head;
    std::size_t m_host = 0;
    std::uint16_t m_status = 0;
    std::string m_body;
    enum class end : std::uint8_t { none, complete, aborted } m_end = end::none;
    instant m_sent_at;
    instant m_ended_at;

    /// Whether the answer is an error that states this outcome.
    bool is_refusal(std::string_view outcome) const;
};

/// The answer of a simulated upstream.
struct upstream_answer {
    response_head m_head;
    std::string m_body;
    duration m_latency = 2ms;

    /// Whether the upstream crashes instead of answering, and restarts after a second.
    bool m_crashes = false;

    /// Bytes of the body after which the connection breaks; 0 breaks it before the head.
    std::optional<std::size_t> m_breaks_after;
};

/// The event handler of one host: the reducer of this library or another one to compare it with.
struct event_handler {
    std::function<effect_list(const event&)> m_reduce;
    std::function<instant()> m_next_wakeup;
    std::shared_ptr<host_state> m_host_state; ///< Null unless it is the reducer of this library.
};

using event_handler_factory = std::function<event_handler(host_settings, effect_list&, instant)>;

/// Creates an event handler from the reducer of this library.
event_handler make_event_handler(host_settings settings, effect_list& start_effects, instant now);

/// Creates an event handler from the reducer of this library that inquires about attempts, or
/// repeats them, after `test_silence_limit` without an answer, as if the latency of the routes were
/// known.
event_handler make_event_handler_with_silence_limit(host_settings settings,
                                                    effect_list& start_effects, instant now);
constexpr duration test_silence_limit = 120ms;

/// Hosts with one upstream each of the service "permits", on a simulated network and clock.
class fleet {
public:
    fleet(std::uint64_t seed, network_faults faults, std::size_t hosts = 3,
          event_handler_factory factory = make_event_handler);

    ~fleet();

    /// Advances the clock and runs all that is scheduled meanwhile.
    void run_for(duration length);

    /// Sends a caller's request to a host. Returns its index in `m_callers`.
    std::size_t call(std::size_t host, std::string method, std::string target,
                     std::vector<http_field> fields = {});

    /// Replaces the process of a host by a new one, which loses its state and connections.
    void restart(std::size_t host);

    /// Lets a host handle an event now.
    void feed(std::size_t host, event_body body);

    /// Returns how often the upstreams ran the request with this id.
    std::size_t runs_of(const std::string& id) const;

    /// Returns the complete body of the answer to the request with this id.
    static std::string body_for(const std::string& id, std::string_view target);

    std::vector<caller_record> m_callers;
    std::vector<std::size_t> m_crashes;        ///< Crashes of the upstream of each host.
    std::map<std::string, std::size_t> m_runs; ///< Number of runs by request id.
    std::size_t m_upstream_requests = 0;

    /// Replaces the default answer of an upstream; may be empty.
    std::function<upstream_answer(std::size_t host, const request_head&, upstream_answer)>
        m_replace_answer;

    /// Called with each effect before it is carried out; may be empty.
    std::function<void(std::size_t host, const effect&)> m_observer;

    store_stub m_store; ///< Answers the store calls on the roster of rate limit shares.

    /// Returns how many messages a new connection delivers before it goes silent, of which the
    /// request is the first; -1 for no limit.
    std::function<int(const start_transfer&)> m_messages_before_silence;
    network_faults m_faults;
    instant m_now{1h};
    std::vector<event_handler> m_event_handlers;

private:
    struct connection;
    struct outbound;
    struct host_process;

    void schedule(duration delay, std::function<void()> action);
    duration delay();
    bool happens(double probability);
    void start_process(std::size_t host);
    void announce(std::size_t host);
    void perform(std::size_t host, const effect& item);
    void answer_store_call(std::size_t host, const call_store& call);
    void perform_effects(std::size_t host, const effect_list& effects);
    void set_timer(std::size_t host);
    void connect(std::size_t host, const start_transfer& order);
    void arrive_at_gate(const std::shared_ptr<connection>& link, const request_head& head);
    void arrive_at_upstream(const std::shared_ptr<connection>& link, const request_head& head);
    void send_to_client(const std::shared_ptr<connection>& link, std::function<void()> action);
    void deliver_head(const std::shared_ptr<connection>& link, const response_head& head);
    void deliver_bytes(const std::shared_ptr<connection>& link, const std::string& bytes);
    void deliver_end(const std::shared_ptr<connection>& link, transfer_end end);
    void relay_received(std::size_t host, transfer_id transfer);
    void write(std::size_t host, exchange_id exchange, const std::string& bytes);
    void write_head(std::size_t host, exchange_id exchange, const response_head& head);
    void close_exchange(std::size_t host, exchange_id exchange, transfer_end end);
    void break_connections(std::size_t host);
    std::size_t host_of(const std::string& ip) const;

    random_engine m_random;
    event_handler_factory m_factory;
    std::multimap<instant, std::function<void()>> m_queue;
    std::vector<host_process> m_processes;
    std::uint64_t m_last_exchange = 0;
    std::string m_last_answer_id; ///< Request id of the previous upstream answer, which a swapped
                                  ///< answer takes its body from.
};

} // namespace chivevane::test
