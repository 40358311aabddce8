#pragma once

#include "libdocument/organisation.h"
#include "libdocument/unique_names.h"
#include "libdocument/yaml_reader.h"

#include <string_view>

namespace chivevane {

/// Returns whether `text` is a SHA-256 digest in lower-case hexadecimal.
bool is_key_digest(std::string_view text);

/// Reads one organisation with its keys. A digest that is already in `digests` is a fault, because
/// a key belongs to one organisation only.
organisation read_organisation(const yaml_place& place, unique_names& digests, fault_list& faults);

} // namespace chivevane
