#include <StandIns/Common/RunProgram.h>

#include <boost/asio/signal_set.hpp>

#include <fmt/format.h>

#include <csignal>
#include <cstdio>

namespace wigeonlift {

namespace {

constexpr int UsageExitCode = 2;

} // namespace

void runUntilSignal(boost::asio::io_context &context, const std::function<void()> &stop) {
  boost::asio::signal_set signals{context, SIGTERM, SIGINT};
  signals.async_wait([&](const boost::system::error_code &, int) {
    stop();
    context.stop();
  });
  context.run();
}

int usageError(std::string_view program, std::string_view message) {
  fmt::print(stderr, "{}: {}\n", program, message);
  return UsageExitCode;
}

} // namespace wigeonlift
