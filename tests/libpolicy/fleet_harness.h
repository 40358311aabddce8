#pragma once

#include "libpolicy/reduce.h"
#include "libpolicy/store_stub.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivevane::test {

/// What goes wrong on the ways between hosts and to upstreams. Shares are probabilities, 0 to 1.
struct fault_plan {
    double m_datagram_loss = 0;
    double m_doubled = 0; ///< Datagrams and requests that arrive twice, the second time late.
    double m_silent = 0;  ///< Connections that go silent at some point.
    double m_broken = 0;  ///< Connections that break at some point.
    double m_refused = 0; ///< Connections that cannot be made.
    double m_crossed = 0; ///< Upstream answers that belong to another request.
    double m_slow = 0;    ///< Messages delayed by up to `m_long_delay` rather than a millisecond.
    duration m_long_delay = 2s;
    duration m_late_copy = 60s; ///< Longest delay of a second copy.
};

/// A request of a caller and what the caller saw of its answer.
struct caller_record {
    std::string m_id;
    request_head m_head;
    std::size_t m_host = 0;
    std::uint16_t m_status = 0;
    std::string m_body;
    enum class end : std::uint8_t { none, whole, cut } m_end = end::none;
    instant m_sent_at;
    instant m_ended_at;

    bool is_refusal(std::string_view outcome) const;
};

/// The answer of an upstream of the model.
struct upstream_answer {
    response_head m_head;
    std::string m_body;
    duration m_latency = 2ms;
    bool m_crashes = false; ///< The upstream breaks off, and starts anew after a second.
    std::optional<std::size_t> m_breaks_after; ///< Bytes of the body; 0 before the head.
};

/// One reducer, whichever way it decides.
struct decider {
    std::function<effect_list(const event&)> m_reduce;
    std::function<instant()> m_next_wakeup;
    std::shared_ptr<node_state> m_node; ///< Null for naive versions.
};

using decider_factory = std::function<decider(host_settings, effect_list&, instant)>;

/// A decider made of the reducer of this library.
decider make_decider(host_settings settings, effect_list& start_effects, instant now);

/// The same, but attempts that are silent for `test_patience` are asked for or repeated, as if the
/// routes' latency were known.
decider make_impatient_decider(host_settings settings, effect_list& start_effects, instant now);
constexpr duration test_patience = 120ms;

/// Some hosts, each with one upstream of the service "permits", on a made-up network and clock.
class fleet {
public:
    fleet(std::uint64_t seed, fault_plan faults, std::size_t hosts = 3,
          decider_factory factory = make_decider);

    ~fleet();

    /// Lets time go on.
    void run_for(duration length);

    /// Sends a caller's request to a host; returns its place in `m_callers`.
    std::size_t call(std::size_t host, std::string method, std::string target,
                     std::vector<http_field> fields = {});

    /// Replaces the process of a host: all it knew is lost.
    void restart(std::size_t host);

    /// Hands an event to a host now.
    void feed(std::size_t host, event_body body);

    /// Runs of the request called `id` over all upstreams.
    std::size_t runs_of(const std::string& id) const;

    /// The whole body that the caller of `id` should get.
    static std::string body_for(const std::string& id, std::string_view target);

    std::vector<caller_record> m_callers;
    std::vector<std::size_t> m_crashes;        ///< By host: crashes of its upstream.
    std::map<std::string, std::size_t> m_runs; ///< By request id.
    std::size_t m_upstream_requests = 0;
    std::function<upstream_answer(std::size_t host, const request_head&, upstream_answer)>
        m_behaviour; ///< Changes the ordinary answer of an upstream.
    std::function<void(std::size_t host, const effect&)> m_observer;
    store_stub m_store; ///< Answers the calls that concern the shares of rates.

    /// Messages that pass on a new connection before it goes silent; -1 for all. The request is the
    /// first of them.
    std::function<int(const start_transfer&)> m_silence;
    fault_plan m_faults;
    instant m_now{1h};
    std::vector<decider> m_deciders;

private:
    struct connection;
    struct outbound;
    struct host_process;

    void schedule(duration delay, std::function<void()> action);
    duration delay();
    bool happens(double share);
    void boot(std::size_t host);
    void announce(std::size_t host);
    void perform(std::size_t host, const effect& item);
    void answer_store_call(std::size_t host, const call_store& call);
    void perform_effects(std::size_t host, const effect_list& effects);
    void set_alarm(std::size_t host);
    void connect(std::size_t host, const start_transfer& order);
    void arrive_at_gate(const std::shared_ptr<connection>& link, const request_head& head);
    void arrive_at_upstream(const std::shared_ptr<connection>& link, const request_head& head);
    void send_to_client(const std::shared_ptr<connection>& link, std::function<void()> action);
    void client_head(const std::shared_ptr<connection>& link, const response_head& head);
    void client_bytes(const std::shared_ptr<connection>& link, const std::string& bytes);
    void client_end(const std::shared_ptr<connection>& link, transfer_end end);
    void pump(std::size_t host, transfer_id transfer);
    void write(std::size_t host, exchange_id exchange, const std::string& bytes);
    void write_head(std::size_t host, exchange_id exchange, const response_head& head);
    void close_exchange(std::size_t host, exchange_id exchange, transfer_end end);
    void break_connections(std::size_t host);
    std::size_t host_of(const std::string& ip) const;

    random_engine m_random;
    decider_factory m_factory;
    std::multimap<instant, std::function<void()>> m_queue;
    std::vector<host_process> m_processes;
    std::uint64_t m_last_exchange = 0;
    std::string m_last_answer_id; ///< Of the upstream answer before; for crossed ones.
};

} // namespace chivevane::test
