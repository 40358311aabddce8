#pragma once

#include "libhost/platform_hooks.h"

#include <asio/io_context.hpp>
#include <functional>
#include <string>

namespace chivevane {

/// Reads the secret that all hosts share from the store under `key`, and creates it if it does not
/// exist yet. Retries until the store answers. `on_secret` is called once with the secret.
void obtain_shared_secret(asio::io_context& loop, store_runner store, std::string key,
                          std::function<void(std::string)> on_secret);

/// Writes the secret that this host has to the store again if the store came back from an older
/// copy that lacks `key`. The store is read after a random delay of up to some seconds, and until
/// it answers. A secret that the store has is kept.
void restore_shared_secret(asio::io_context& loop, store_runner store, std::string key,
                           std::string secret);

} // namespace chivevane
