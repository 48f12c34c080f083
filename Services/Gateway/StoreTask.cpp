#include "StoreTask.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

constexpr Duration ReadTimeout = std::chrono::milliseconds{1000};
// A watch that hears nothing for long may be dead without a sign.
constexpr Duration WatchWait = std::chrono::milliseconds{3000};
constexpr Duration WatchTimeout = std::chrono::milliseconds{3800};
// Changes that come in series are fetched with one call.
constexpr Duration FoldSpan = std::chrono::milliseconds{500};
constexpr Duration FirstRetry = std::chrono::milliseconds{200};
constexpr Duration MaxRetry = std::chrono::milliseconds{1000};

} // namespace

StoreTask::StoreTask(Gateway &gateway, std::uint64_t seed)
    : Owner(gateway), Client(*parseEndpoint(gateway.settings().StoreAddress)), Rng(seed),
      Timer(gateway.context()) {}

void StoreTask::start() { asio::co_spawn(Owner.context(), run(), asio::detached); }

asio::awaitable<void> StoreTask::run() {
  while (true) {
    const bool isRead = MustReadAll ? co_await readAll() : co_await watch();
    if (isRead) {
      Failures = 0;
      // Until the first configuration is known, nothing is worth more than to get it.
      if (Owner.plans().inForce())
        co_await pause(FoldSpan);
    } else {
      const double factor = static_cast<double>(1 << std::min(Failures, 3));
      ++Failures;
      co_await pause(std::min(fromSeconds(toSeconds(FirstRetry) * factor * (0.75 + Rng.unit() / 2)),
                              MaxRetry));
    }
  }
}

asio::awaitable<bool> StoreTask::readAll() {
  const auto delta = co_await Client.readAll(ReadTimeout);
  if (!delta.ok()) {
    didFail(delta.status(), "read");
    co_return false;
  }
  MustReadAll = false;
  didRead(*delta);
  co_return true;
}

asio::awaitable<bool> StoreTask::watch() {
  const auto delta = co_await Client.watch(Replica.revision(), WatchWait, WatchTimeout);
  if (!delta.ok()) {
    // What happened in the gap is only seen by reading everything.
    if (delta.status().code() == absl::StatusCode::kOutOfRange)
      MustReadAll = true;
    didFail(delta.status(), "watch");
    co_return MustReadAll;
  }
  didRead(*delta);
  co_return true;
}

asio::awaitable<void> StoreTask::pause(Duration span) {
  Timer.expires_after(span);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void StoreTask::didRead(const StoreDelta &delta) {
  if (IsLost) {
    IsLost = false;
    Owner.didRegainStore();
  }
  Owner.didLearn(Replica.apply(delta, bootTimeNow()), "store");
}

void StoreTask::didFail(const absl::Status &status, std::string_view what) {
  Owner.eventLog().write(EventLog::Weight::Important, "store_call_failed",
                         {{"call", std::string{what}},
                          {"why", status.ToString()},
                          {"rev", fmt::format("{}", Replica.revision())}});
  if (status.code() == absl::StatusCode::kOutOfRange || IsLost)
    return;
  IsLost = true;
  Owner.didLoseStore();
}

} // namespace wigeonlift
