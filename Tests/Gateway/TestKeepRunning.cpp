#include <Services/Gateway/KeepRunning.h>

#include <boost/asio/post.hpp>

#include <gtest/gtest.h>

#include <fcntl.h>

#include <stdexcept>

using namespace wigeonlift;
namespace asio = boost::asio;

namespace {

EventLog silentLog() { return {::open("/dev/null", O_WRONLY | O_CLOEXEC), "gateway-1"}; }

} // namespace

// Guards against a process that goes on without one of its tasks, as deaf to its peers or the
// store, after an unexpected error in it.
TEST(KeepRunning, ATaskThatFailsStartsAgain) {
  asio::io_context context;
  EventLog log = silentLog();
  int runs = 0;
  keepRunning(context, log, "test", [&]() -> asio::awaitable<void> {
    if (++runs < 3)
      throw std::runtime_error{"unexpected"};
    co_return;
  });
  runContext(context, log);
  EXPECT_EQ(runs, 3);
  EXPECT_EQ(log.appended(), 2U);
}

// Guards against one unexpected error that takes the whole process down.
TEST(KeepRunning, AHandlerThatFailsEndsAlone) {
  asio::io_context context;
  EventLog log = silentLog();
  bool didGoOn = false;
  asio::post(context, [] { throw std::runtime_error{"unexpected"}; });
  asio::post(context, [&] { didGoOn = true; });
  runContext(context, log);
  EXPECT_TRUE(didGoOn);
  EXPECT_EQ(log.appended(), 1U);
}
