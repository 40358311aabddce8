#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/context.h"

#include <string>

/// The way of a submitted document into the store: read, compare, write, and read back by edit id
/// when an answer was lost.
namespace chivevane::configuration {

/// Checks `submission` and begins to write it, or refuses it.
void begin_write(configuration_state& state, context& surroundings,
                 const document_submitted& submission);

/// Handles the store's answer to the operation of a write.
void on_write_outcome(configuration_state& state, context& surroundings, std::uint64_t operation,
                      const store_outcome& outcome);

/// Repeats the operations that are due.
void repeat_writes(configuration_state& state, context& surroundings);

/// The store's key of the document called `name`.
std::string store_key(std::string_view name);

/// Prefix of the store's keys of all documents.
constexpr std::string_view documents_prefix = "/chivevane/documents/";

} // namespace chivevane::configuration
