#pragma once

#include "libadmin/admin_command.h"
#include "libadmin/admin_view.h"
#include "libadmin/json_text.h"
#include "libdocument/diff_documents.h"

#include <string_view>
#include <vector>

namespace chivevane {

/// Returns the name of a health status in the API.
std::string_view standing_name(health::health_status standing);

/// Returns the documents in force with their revisions.
json_value documents_json(const admin_view& view);

/// Returns the revision of a document that each host has in force, as far as this host knows.
json_value rollout_json(const admin_view& view, const document_in_force& in_force);

json_value hosts_json(const admin_view& view);

json_value upstreams_json(const admin_view& view);

/// Returns the organisations with their limits and their requests in progress on this host.
json_value organisations_json(const admin_view& view, const list_organisations& command);

json_value timeline_json(const admin_view& view, const read_timeline& command);

json_value changes_json(const std::vector<document_change>& changes);

} // namespace chivevane
