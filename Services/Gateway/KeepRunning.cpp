#include "KeepRunning.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <exception>
#include <memory>
#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

// Keeps a task that fails at once each time from taking all processor time.
constexpr auto RestartDelay = std::chrono::milliseconds{100};

std::string describe(const std::exception_ptr &failure) {
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception &e) {
    return e.what();
  } catch (...) {
    return "unknown";
  }
}

} // namespace

void keepRunning(asio::io_context &context, EventLog &log, std::string name,
                 std::function<asio::awaitable<void>()> task) {
  auto running = task();
  asio::co_spawn(context, std::move(running),
                 [&context, &log, name = std::move(name),
                  task = std::move(task)](const std::exception_ptr &failure) {
                   if (!failure)
                     return;
                   log.write(EventLog::Priority::Important, "task_failed",
                             {{"task", name}, {"why", describe(failure)}});
                   const auto timer = std::make_shared<asio::steady_timer>(context, RestartDelay);
                   timer->async_wait(
                       [&context, &log, name, task, timer](const boost::system::error_code &ec) {
                         if (!ec)
                           keepRunning(context, log, name, task);
                       });
                 });
}

void runContext(asio::io_context &context, EventLog &log) {
  while (true) {
    try {
      context.run();
      return;
    } catch (const std::exception &) {
      log.write(EventLog::Priority::Important, "handler_failed",
                {{"why", describe(std::current_exception())}});
    }
  }
}

} // namespace wigeonlift
