#pragma once

#include "libpolicy/configuration/configuration_state.h"
#include "libpolicy/reducer_context.h"

#include <string>

/// Writes a submitted document to the store: reads the current revision, checks the expected one,
/// writes with compare-and-swap, and reads back by edit id if an answer was lost.
namespace chivevane::configuration {

/// Validates `submission` and begins to write it, or refuses it.
void begin_write(configuration_state& state, reducer_context& context,
                 const document_submitted& submission);

/// Handles the store's answer to an operation of a write.
void on_write_outcome(configuration_state& state, reducer_context& context, std::uint64_t operation,
                      const store_outcome& outcome);

/// Retries the writes that are due.
void retry_writes(configuration_state& state, reducer_context& context);

/// Returns the store's key for the document called `name`.
std::string store_key(std::string_view name);

/// Prefix of the store's keys for all documents.
constexpr std::string_view documents_prefix = "/chivevane/documents/";

} // namespace chivevane::configuration
