#include "libadmin/metrics_text.h"

#include "libpolicy/configuration/configuration.h"
#include "libpolicy/health/health.h"

#include <array>
#include <fmt/format.h>

namespace chivevane {

namespace {

/// Writes metrics in the Prometheus text format.
class metrics_writer {
public:
    /// Writes the HELP and TYPE lines of a metric. Calls of `sample` add its samples.
    void begin(std::string_view name, std::string_view type, std::string_view help)
    {
        m_name = name;
        fmt::format_to(std::back_inserter(m_text),
                       "# HELP chivevane_{0} {1}\n# TYPE chivevane_{0} {2}\n", name, help, type);
    }

    /// Writes one sample. `labels` is the text inside the braces; names from documents and settings
    /// need no escapes.
    void sample(std::string_view labels, double value, std::string_view suffix = "")
    {
        const auto braces = labels.empty() ? std::string{} : fmt::format("{{{}}}", labels);
        fmt::format_to(std::back_inserter(m_text), "chivevane_{}{}{} {}\n", m_name, suffix, braces,
                       value);
    }

    /// Writes a metric that has one sample without labels.
    void single_sample(std::string_view name, std::string_view type, std::string_view help,
                       double value)
    {
        begin(name, type, help);
        sample("", value);
    }

    std::string release_text() { return std::move(m_text); }

private:
    std::string m_name;
    std::string m_text;
};

void write_latency(metrics_writer& writer, const latency_histogram& latency)
{
    writer.begin("caller_latency_seconds", "histogram",
                 "Time from a caller's whole request to the end of its answer.");
    const auto& buckets = latency.buckets();
    const auto& axis = buckets.axis();
    double total = buckets.at(-1);
    for (int index = 0; index < axis.size(); ++index) {
        total += buckets.at(index);
        writer.sample(fmt::format("le=\"{:.4g}\"", axis.bin(index).upper()), total, "_bucket");
    }
    total += buckets.at(axis.size());
    writer.sample("le=\"+Inf\"", total, "_bucket");
    writer.sample("", latency.sum_seconds(), "_sum");
    writer.sample("", total, "_count");
}

void write_counters(metrics_writer& writer, const host_counters& counters)
{
    writer.begin("caller_answers_total", "counter", "Answers to callers by HTTP status.");
    for (const auto& [status, count] : counters.m_caller_answers) {
        writer.sample(fmt::format("status=\"{}\"", status), static_cast<double>(count));
    }
    write_latency(writer, counters.m_caller_latency);
    const auto count = [&writer](std::string_view name, std::string_view help,
                                 std::uint64_t value) {
        writer.single_sample(name, "counter", help, static_cast<double>(value));
    };
    count("caller_aborts_total", "Answers cut off because they could not be completed.",
          counters.m_caller_aborts);
    count("datagrams_received_total", "Authentic datagrams from other hosts.",
          counters.m_datagrams_received);
    count("datagrams_refused_total", "Datagrams that were forged, malformed or too large.",
          counters.m_datagrams_refused);
    count("datagrams_sent_total", "Datagrams to other hosts.", counters.m_datagrams_sent);
    count("datagram_bytes_sent_total", "Bytes of datagrams to other hosts.",
          counters.m_datagram_bytes_sent);
    count("store_calls_total", "Calls on the platform's store.", counters.m_store_calls);
    count("store_failures_total", "Calls on the store without a usable answer.",
          counters.m_store_failures);
    writer.single_sample("processor_seconds_total", "counter", "Processor time of the process.",
                         counters.m_processor_seconds);
    writer.single_sample("resident_bytes", "gauge", "Memory of the process.",
                         static_cast<double>(counters.m_resident_bytes));
}

/// Writes what the memory budget holds and did. Without a budget its capacity is 0.
void write_memory(metrics_writer& writer, const host_counters& counters)
{
    const auto write = [&writer](std::string_view name, std::string_view type,
                                 std::string_view help, std::uint64_t value) {
        writer.single_sample(name, type, help, static_cast<double>(value));
    };
    write("memory_budget_bytes", "gauge", "Capacity of the memory budget; 0 without a budget.",
          counters.m_memory_capacity_bytes);
    write("memory_reserved_bytes", "gauge", "Bytes reserved from the memory budget.",
          counters.m_memory_reserved_bytes);
    write("memory_refused_bodies_total", "counter", "Requests refused for lack of memory.",
          counters.m_refused_bodies);
    write("memory_evicted_bodies_total", "counter",
          "Requests that stalled and were ended for lack of memory.", counters.m_evicted_bodies);
    write("memory_unbuffered_answers_total", "counter",
          "Answers passed on early for lack of memory.", counters.m_unbuffered_answers);
    write("memory_closed_readers_total", "counter",
          "Connections closed as their reader took nothing while memory was short.",
          counters.m_closed_readers);
    write("connections_closed_at_limit_total", "counter",
          "Connections closed at the connection limit of a listener.",
          counters.m_closed_connections);
}

void write_configuration(metrics_writer& writer, const admin_view& view)
{
    const auto& configuration = view.m_host_state.m_configuration;
    writer.single_sample("may_serve", "gauge",
                         "1 if the documents in force are known to be current.",
                         configuration::may_serve(configuration, view.m_now) ? 1 : 0);
    writer.single_sample("store_revision", "gauge",
                         "Revision of the store when it last answered this host; 0 if unknown.",
                         static_cast<double>(configuration.m_store_position.m_revision));
    writer.single_sample("store_reversions_total", "counter",
                         "Answers that showed that the store came back from an older copy.",
                         static_cast<double>(configuration.m_store_reversions));
    writer.single_sample("documents_ignored_total", "counter",
                         "Documents of the store that were not newer than the one in force.",
                         static_cast<double>(configuration.m_ignored_documents));
    writer.begin("document_revision", "gauge", "Revision in force on this host.");
    for (const auto& [name, in_force] : configuration.m_documents) {
        writer.sample(fmt::format("document=\"{}\"", name),
                      static_cast<double>(in_force.m_stored.m_revision));
    }
}

void write_members(metrics_writer& writer, const membership_state& membership)
{
    constexpr std::array<std::string_view, 4> names{"alive", "suspect", "leaving", "dead"};
    std::array<double, names.size()> counts{};
    for (const auto& [name, peer] : membership.m_members) {
        counts.at(static_cast<std::size_t>(peer.m_status)) += 1;
    }
    writer.begin("members", "gauge", "Hosts that this host knows, by status.");
    for (std::size_t index = 0; index < names.size(); ++index) {
        writer.sample(fmt::format("status=\"{}\"", names.at(index)), counts.at(index));
    }
}

void write_shed_attempts(metrics_writer& writer, const admission_state& admission)
{
    writer.begin("shed_attempts_total", "counter",
                 "Attempts that the gate refused after it had queued them, by cause.");
    for (std::size_t cause = 0; cause < admission.m_shed_counts.size(); ++cause) {
        const auto name = load_shedding::to_string(static_cast<load_shedding::shed_cause>(cause));
        writer.sample(fmt::format("cause=\"{}\"", name),
                      static_cast<double>(admission.m_shed_counts.at(cause)));
    }
}

/// Writes one gauge with a sample for each upstream of all known hosts.
template <typename Value>
void write_upstreams(metrics_writer& writer, const admin_view& view, std::string_view name,
                     std::string_view help, Value value)
{
    writer.begin(name, "gauge", help);
    for (const auto& [host, peer] : view.m_host_state.m_membership.m_members) {
        for (const auto& upstream : peer.m_record.m_upstreams) {
            writer.sample(fmt::format("service=\"{}\",host=\"{}\",endpoint=\"{}\"",
                                      upstream.m_service, host, upstream.m_endpoint),
                          value(host, upstream));
        }
    }
}

void write_all_upstreams(metrics_writer& writer, const admin_view& view)
{
    write_upstreams(writer, view, "upstream_concurrency",
                    "Requests that the gate of the upstream admits at once.",
                    [](const std::string&, const upstream_summary& upstream) {
                        return static_cast<double>(upstream.m_concurrency);
                    });
    write_upstreams(writer, view, "upstream_queued", "Requests that wait at the upstream's gate.",
                    [](const std::string&, const upstream_summary& upstream) {
                        return static_cast<double>(upstream.m_queued);
                    });
    write_upstreams(writer, view, "upstream_share",
                    "Share of its fair part of the work that the upstream gets; 0 if ejected.",
                    [&view](const std::string& host, const upstream_summary& upstream) {
                        return health::assessment_of(view.m_host_state.m_health,
                                                     {host, upstream.m_endpoint})
                            .m_share;
                    });
}

} // namespace

std::string format_metrics(const admin_view& view)
{
    metrics_writer writer;
    write_counters(writer, view.m_counters);
    write_memory(writer, view.m_counters);
    write_configuration(writer, view);
    write_members(writer, view.m_host_state.m_membership);
    writer.single_sample("requests_in_progress", "gauge",
                         "Callers' requests that this host owns now.",
                         static_cast<double>(view.m_host_state.m_ingress.m_requests.size()));
    writer.single_sample("attempts_in_progress", "gauge", "Attempts at the gate of this host now.",
                         static_cast<double>(view.m_host_state.m_gate.m_attempts.size()));
    write_shed_attempts(writer, view.m_host_state.m_admission);
    write_all_upstreams(writer, view);
    return writer.release_text();
}

} // namespace chivevane
