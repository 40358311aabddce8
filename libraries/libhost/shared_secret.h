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

} // namespace chivevane
