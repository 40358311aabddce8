#include "libadmin/resource_json.h"

#include "libpolicy/configuration/configuration.h"
#include "libpolicy/health/health.h"

#include <algorithm>
#include <fmt/format.h>

namespace chivevane {

namespace {

std::string_view name_of(member_status status)
{
    switch (status) {
    case member_status::alive:
        return "alive";
    case member_status::suspect:
        return "suspect";
    case member_status::leaving:
        return "leaving";
    case member_status::dead:
        return "dead";
    }
    return "invalid";
}

/// Returns the revision that each host has in force, by host name. The revision is null where this
/// host does not know it.
json_value revisions_by_host(const admin_view& view, std::string_view name)
{
    auto revisions = json_value::object();
    for (const auto& known : configuration::rollout(view.m_host_state.m_configuration, name)) {
        revisions[known.m_host] =
            known.m_revision ? json_value(*known.m_revision) : json_value(nullptr);
    }
    return revisions;
}

json_value host_json(const admin_view& view, const member& peer)
{
    const auto& record = peer.m_record;
    const auto& address = record.m_address;
    const bool is_self = record.m_identity.m_name == view.m_host_state.m_settings.m_self.m_name;
    const auto time_since_last_round = is_self ? duration{} : view.m_now - peer.m_last_round_at;
    return {{"host", record.m_identity.m_name},
            {"incarnation", record.m_identity.m_incarnation},
            {"datacentre", record.m_datacentre},
            {"status", name_of(peer.m_status)},
            {"silent_ms", to_milliseconds(time_since_last_round)},
            {"upstreams", record.m_upstreams.size()},
            {"ip", address.m_ip},
            {"caller_port", address.m_caller_port},
            {"gate_port", address.m_gate_port},
            {"control_port", address.m_control_port},
            {"admin_port", address.m_admin_port}};
}

json_value upstream_json(const admin_view& view, const member& peer,
                         const upstream_summary& upstream)
{
    const auto& self = view.m_host_state;
    const auto& host = peer.m_record.m_identity.m_name;
    const auto& datacentre = peer.m_record.m_datacentre;
    const auto assessment = health::assessment_of(self.m_health, {host, upstream.m_endpoint});
    return {{"service", upstream.m_service},
            {"host", host},
            {"endpoint", upstream.m_endpoint},
            {"datacentre", datacentre},
            {"datacentre_out", configuration::is_datacentre_out(self.m_configuration,
                                                                upstream.m_service, datacentre)},
            {"host_status", name_of(peer.m_status)},
            {"phase", upstream.m_phase == upstream_phase::serving ? "serving" : "draining"},
            {"warmth", upstream.m_warm_up_state == warm_up_state::warm ? "warm" : "cold"},
            {"standing", standing_name(assessment.m_status)},
            {"share", assessment.m_share},
            {"slots", upstream.m_slots},
            {"concurrency", upstream.m_concurrency},
            {"queued", upstream.m_queued}};
}

std::size_t requests_in_progress(const host_state& self, const std::string& document_name,
                                 const std::string& organisation_name)
{
    const auto& requests = self.m_ingress.m_requests;
    return static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(), [&](const auto& entry) {
            return entry.second.m_organisation == organisation_name &&
                   entry.second.m_document != nullptr &&
                   entry.second.m_document->m_name == document_name;
        }));
}

json_value organisation_json(const host_state& self, const document& parsed_document,
                             const organisation& owner)
{
    auto keys = json_value::array();
    for (const auto& key : owner.m_keys) {
        keys.push_back(key.m_name);
    }
    return {{"document", parsed_document.m_name},
            {"organisation", owner.m_name},
            {"rate", owner.m_rate},
            {"burst", owner.m_burst},
            {"keys", std::move(keys)},
            {"in_progress", requests_in_progress(self, parsed_document.m_name, owner.m_name)}};
}

json_value entry_json(const timeline_entry& entry)
{
    auto fields = json_value::object();
    for (const auto& field : entry.m_fields) {
        fields[field.m_key] = field.m_value;
    }
    return {{"wall_ms", entry.m_at.m_wall_ms},
            {"counter", entry.m_at.m_counter},
            {"host", entry.m_host},
            {"event", entry.m_name},
            {"fields", std::move(fields)}};
}

} // namespace

std::string_view standing_name(health::health_status standing)
{
    switch (standing) {
    case health::health_status::healthy:
        return "healthy";
    case health::health_status::trial:
        return "trial";
    case health::health_status::ramping:
        return "ramping";
    case health::health_status::ejected:
        return "ejected";
    }
    return "invalid";
}

json_value documents_json(const admin_view& view)
{
    auto list = json_value::array();
    for (const auto& [name, in_force] : view.m_host_state.m_configuration.m_documents) {
        list.push_back({{"name", name},
                        {"revision", in_force.m_stored.m_revision},
                        {"edit_id", in_force.m_stored.m_edit_id},
                        {"organisations", in_force.m_document->m_organisations.size()},
                        {"routes", in_force.m_document->m_routes.size()}});
    }
    return {{"documents", std::move(list)}};
}

json_value rollout_json(const admin_view& view, const document_in_force& in_force)
{
    const auto revision = in_force.m_stored.m_revision;
    const auto revisions = revisions_by_host(view, in_force.m_stored.m_name);
    auto hosts = json_value::array();
    for (const auto& [name, peer] : view.m_host_state.m_membership.m_members) {
        hosts.push_back({{"host", name},
                         {"datacentre", peer.m_record.m_datacentre},
                         {"status", name_of(peer.m_status)},
                         {"revision", revisions.value(name, json_value(nullptr))}});
    }
    return {{"document", in_force.m_stored.m_name},
            {"revision", revision},
            {"edit_id", in_force.m_stored.m_edit_id},
            {"hosts", std::move(hosts)}};
}

json_value hosts_json(const admin_view& view)
{
    auto list = json_value::array();
    for (const auto& [name, peer] : view.m_host_state.m_membership.m_members) {
        list.push_back(host_json(view, peer));
    }
    return {{"hosts", std::move(list)}};
}

json_value upstreams_json(const admin_view& view)
{
    auto list = json_value::array();
    for (const auto& [name, peer] : view.m_host_state.m_membership.m_members) {
        for (const auto& upstream : peer.m_record.m_upstreams) {
            list.push_back(upstream_json(view, peer, upstream));
        }
    }
    return {{"upstreams", std::move(list)}};
}

json_value organisations_json(const admin_view& view, const list_organisations& command)
{
    auto list = json_value::array();
    for (const auto& [name, in_force] : view.m_host_state.m_configuration.m_documents) {
        if (!command.m_document.empty() && command.m_document != name) {
            continue;
        }
        for (const auto& owner : in_force.m_document->m_organisations) {
            list.push_back(organisation_json(view.m_host_state, *in_force.m_document, owner));
        }
    }
    return {{"organisations", std::move(list)}};
}

json_value timeline_json(const admin_view& view, const read_timeline& command)
{
    const auto& entries = view.m_timeline.m_entries;
    auto first = entries.begin();
    if (command.m_after) {
        first = std::find_if(entries.begin(), entries.end(), [&](const timeline_entry& entry) {
            return entry.m_at > *command.m_after;
        });
    }
    const auto available = static_cast<std::size_t>(entries.end() - first);
    const auto count = std::min(available, command.m_limit);
    if (!command.m_after) {
        first = entries.end() - static_cast<std::ptrdiff_t>(count);
    }
    auto list = json_value::array();
    std::transform(first, first + static_cast<std::ptrdiff_t>(count), std::back_inserter(list),
                   entry_json);
    return {{"entries", std::move(list)}};
}

json_value changes_json(const std::vector<document_change>& changes)
{
    auto list = json_value::array();
    for (const auto& change : changes) {
        list.push_back({{"kind", to_string(change.m_kind)},
                        {"subject", to_string(change.m_subject)},
                        {"name", change.m_name},
                        {"field", change.m_field},
                        {"before", change.m_before},
                        {"after", change.m_after},
                        {"line", to_line(change)}});
    }
    return list;
}

} // namespace chivevane
