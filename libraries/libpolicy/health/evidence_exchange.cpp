#include "libpolicy/health/evidence_exchange.h"

#include <utility>

namespace chivevane::health {

namespace {

// A datagram holds 1,400 bytes; its stamp and its signature take the rest.
constexpr std::size_t max_report_bytes = 1100;
// Encoded size of the evidence on one key without its names.
constexpr std::size_t fixed_evidence_bytes = 38 + 2 * (1 + latency_bucket_count);
constexpr std::uint64_t refresh_interval_windows = 10;
constexpr std::uint32_t urgent_failures = 2;
constexpr std::uint32_t urgent_bad_answers = 3;
constexpr double urgent_bad_share = 0.4; // Slow answers normally have a much smaller share.
constexpr duration evidence_lifetime = 10min;
// The 16-bit counters do not wrap around within this time, since fewer than 65,536 answers come.
constexpr duration max_reception_gap = 30s;

std::size_t encoded_size(const upstream_evidence& evidence)
{
    return fixed_evidence_bytes + evidence.m_upstream.m_host.size() +
           evidence.m_upstream.m_endpoint.size() + evidence.m_service.size() +
           evidence.m_route.size();
}

/// Whether this host counts `seen` as evidence on the upstream. A gate counts all answers of its
/// upstream; an ingress counts only answers that reach it corrupted, which the gate cannot see.
bool is_counted(const observation& seen)
{
    if (seen.m_observer == observer::gate) {
        return seen.m_result != observed_result::unreachable;
    }
    return seen.m_result == observed_result::corrupted;
}

evidence_source& source_of(evidence_inbox& inbox, const host_identity& sender, std::uint64_t window,
                           instant now)
{
    auto& source = inbox.m_sources[sender.m_name];
    if (source.m_incarnation != sender.m_incarnation ||
        now - source.m_last_received_at > max_reception_gap) {
        source = {sender.m_incarnation, window, now, {}};
    }
    source.m_last_received_at = now;
    return source;
}

} // namespace

void record_observation(evidence_outbox& outbox, std::string_view self, const observation& seen,
                        duration slow_threshold, instant now)
{
    if (!is_counted(seen)) {
        return;
    }
    auto& own = outbox.m_evidence[{seen.m_upstream, seen.m_route}];
    auto& evidence = own.m_evidence;
    if (evidence.m_service.empty()) {
        const bool is_own = seen.m_upstream.m_host == self;
        const auto window = static_cast<std::uint32_t>(outbox.m_window + 1);
        evidence = {seen.m_upstream, seen.m_service, seen.m_route, window, {}};
        evidence.m_upstream.m_host = is_own ? "" : seen.m_upstream.m_host;
    }
    ++outbox.m_unsent_answers;
    if (seen.m_result == observed_result::good) {
        ++evidence.m_counters.m_latencies[bucket_of(seen.m_latency)];
        outbox.m_unsent_slow += seen.m_latency >= slow_threshold ? 1 : 0;
    }
    else {
        ++evidence.m_counters.m_failures;
        ++outbox.m_unsent_failures;
    }
    own.m_changed_at = now;
    own.m_is_unsent = true;
}

bool is_urgent(const evidence_outbox& outbox)
{
    const auto bad = outbox.m_unsent_failures + outbox.m_unsent_slow;
    return outbox.m_unsent_failures >= urgent_failures ||
           (bad >= urgent_bad_answers && bad >= urgent_bad_share * outbox.m_unsent_answers);
}

std::vector<health_report> build_reports(evidence_outbox& outbox, instant now)
{
    std::erase_if(outbox.m_evidence, [now](const auto& entry) {
        return now - entry.second.m_changed_at > evidence_lifetime;
    });
    outbox.m_unsent_answers = outbox.m_unsent_failures = outbox.m_unsent_slow = 0;
    const auto window = ++outbox.m_window;
    const bool is_refresh = window % refresh_interval_windows == 0;
    std::vector<health_report> reports;
    std::size_t size = max_report_bytes;
    for (auto& [key, own] : outbox.m_evidence) {
        if (!is_refresh && !own.m_is_unsent) {
            continue;
        }
        own.m_is_unsent = false;
        size += encoded_size(own.m_evidence);
        if (size > max_report_bytes) {
            reports.push_back({window, {}});
            size = encoded_size(own.m_evidence);
        }
        reports.back().m_evidence.push_back(own.m_evidence);
    }
    return reports;
}

std::vector<received_evidence> receive(evidence_inbox& inbox, const host_identity& sender,
                                       const health_report& report, instant now)
{
    const auto known = inbox.m_sources.find(sender.m_name);
    if (known != inbox.m_sources.end() && known->second.m_incarnation > sender.m_incarnation) {
        return {};
    }
    auto& source = source_of(inbox, sender, report.m_window, now);
    std::vector<received_evidence> added;
    for (const auto& evidence : report.m_evidence) {
        evidence_key key{evidence.m_upstream, evidence.m_route};
        if (key.m_upstream.m_host.empty()) {
            key.m_upstream.m_host = sender.m_name;
        }
        auto& last = source.m_received[key];
        if (report.m_window <= last.m_window) {
            continue;
        }
        const bool is_known = last.m_window > 0 && last.m_since == evidence.m_since;
        // Counters that began before reception did contain answers of unknown age, so their first
        // values serve only as the baseline for later reports.
        const bool is_baseline = !is_known && evidence.m_since < source.m_first_continuous_window;
        const auto earlier = is_known ? last.m_counters : evidence_counters{};
        const auto answers = difference(evidence.m_counters, earlier);
        last = {report.m_window, evidence.m_since, evidence.m_counters};
        if (!is_baseline && request_count(answers) > 0) {
            added.push_back({std::move(key), evidence.m_service, answers});
        }
    }
    return added;
}

void erase_expired(evidence_inbox& inbox, instant now)
{
    std::erase_if(inbox.m_sources, [now](const auto& entry) {
        return now - entry.second.m_last_received_at > evidence_lifetime;
    });
}

} // namespace chivevane::health
