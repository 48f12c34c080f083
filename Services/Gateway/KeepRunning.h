#pragma once

#include <LibTelemetry/LibTelemetry.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace wigeonlift {

/// Runs a task that must last as long as the process. When it fails by an exception, that is logged
/// and the task starts again, so that an unexpected error doesn't leave the process without it.
void keepRunning(boost::asio::io_context &context, EventLog &log, std::string name,
                 std::function<boost::asio::awaitable<void>()> task);

/// Runs the context until it is stopped or has no work left. A handler that fails by an exception
/// is logged and ends alone.
void runContext(boost::asio::io_context &context, EventLog &log);

} // namespace wigeonlift
