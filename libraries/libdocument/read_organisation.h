#pragma once

#include "libdocument/organisation.h"
#include "libdocument/unique_names.h"
#include "libdocument/yaml_reader.h"

#include <string_view>

namespace chivevane {

/// Whether `text` is a SHA-256 digest in lower-case hexadecimal form.
bool is_key_digest(std::string_view text);

/// Reads one organisation with its keys. No digest may stand twice in a document, since a key
/// belongs to one organisation.
organisation read_organisation(const yaml_place& place, unique_names& digests, fault_list& faults);

} // namespace chivevane
