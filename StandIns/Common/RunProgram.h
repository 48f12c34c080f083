#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace wigeonlift {

/// Runs the context until SIGTERM or SIGINT arrives, then calls `stop` and returns.
void runUntilSignal(boost::asio::io_context &context, const std::function<void()> &stop);

/// Writes `PROGRAM: MESSAGE` to standard error and returns the exit code of a wrong command line.
int usageError(std::string_view program, std::string_view message);

} // namespace wigeonlift
