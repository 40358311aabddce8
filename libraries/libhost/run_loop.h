#pragma once

#include <asio/io_context.hpp>
#include <exception>

namespace chivevane {

/// Runs the handlers of `loop` until it is stopped or has nothing left to do. An exception of a
/// handler ends that handler only: it is logged as `handler-failed`, and the loop goes on, so that
/// one unexpected message does not end all exchanges of the process.
void run_loop(asio::io_context& loop);

/// Logs that an exception ended the handling of an event.
void log_failed_handler(const std::exception& problem);

} // namespace chivevane
