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
// How often a VM that depends on another one's watch looks whether it still may.
constexpr Duration FollowInterval = std::chrono::milliseconds{300};
// Entries that lapsed while the store was away return within this time.
// A VM that the store refuses doesn't try to read for the others again before this time is over.
constexpr Duration LostMemory = std::chrono::seconds{6};
constexpr Duration LapseSpan = std::chrono::milliseconds{2200};
constexpr Duration FirstStartWait = std::chrono::milliseconds{2000};
constexpr Duration FirstStartCheck = std::chrono::milliseconds{250};
constexpr Duration FirstRetry = std::chrono::milliseconds{200};
constexpr Duration MaxRetry = std::chrono::milliseconds{1000};

} // namespace

StoreTask::StoreTask(Gateway &gateway, FleetTask &fleet, std::uint64_t seed)
    : Owner(gateway), Peers(fleet), Client(*parseEndpoint(gateway.settings().StoreAddress)),
      Rng(seed), Timer(gateway.context()) {}

void StoreTask::start() { asio::co_spawn(Owner.context(), run(), asio::detached); }

asio::awaitable<void> StoreTask::waitForPeers() {
  const TimePoint end = bootTimeNow() + FirstStartWait;
  while (Peers.replica().isEmpty() && bootTimeNow() < end)
    co_await pause(FirstStartCheck);
  MustReadAll = Peers.replica().isEmpty();
}

asio::awaitable<void> StoreTask::run() {
  // VMs that start together don't all have to ask the store, as long as no callers wait.
  if (Owner.settings().IsFirstStart && !Peers.isSeed())
    co_await waitForPeers();
  while (true) {
    if (!MustReadAll && !Peers.mustWatch()) {
      // Others read now. This VM reads again when its failure is some time ago.
      IsLost = false;
      if (bootTimeNow() - FailedAt > LostMemory)
        Peers.setLostStore(false);
      co_await pause(FollowInterval);
      continue;
    }
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
  const StoreRevision before = Peers.replica().revision();
  const auto delta = co_await Client.readAll(ReadTimeout);
  if (!delta.ok()) {
    didFail(delta.status(), "read");
    co_return false;
  }
  MustReadAll = false;
  didRead(*delta, before);
  co_return true;
}

asio::awaitable<bool> StoreTask::watch() {
  const StoreRevision after = Peers.replica().revision();
  const auto delta = co_await Client.watch(after, WatchWait, WatchTimeout);
  if (!delta.ok()) {
    // What happened in the gap is only seen by reading everything.
    if (delta.status().code() == absl::StatusCode::kOutOfRange)
      MustReadAll = true;
    didFail(delta.status(), "watch");
    co_return MustReadAll;
  }
  didRead(*delta, after);
  co_return true;
}

asio::awaitable<void> StoreTask::pause(Duration span) {
  Timer.expires_after(span);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void StoreTask::didRead(const StoreDelta &delta, StoreRevision after) {
  if (!IsLost && bootTimeNow() - RegainedAt > LapseSpan)
    Peers.setLostStore(false);
  if (IsLost) {
    IsLost = false;
    RegainedAt = bootTimeNow();
    Owner.eventLog().write(EventLog::Weight::Important, "store_regained", {});
  }
  Peers.didLearn(delta, after);
}

void StoreTask::didFail(const absl::Status &status, std::string_view what) {
  Owner.eventLog().write(EventLog::Weight::Important, "store_call_failed",
                         {{"call", std::string{what}},
                          {"why", status.ToString()},
                          {"rev", fmt::format("{}", Peers.replica().revision())}});
  if (status.code() == absl::StatusCode::kOutOfRange)
    return;
  FailedAt = bootTimeNow();
  if (IsLost)
    return;
  IsLost = true;
  Peers.setLostStore(true);
  Owner.eventLog().write(EventLog::Weight::Important, "store_lost", {});
}

} // namespace wigeonlift
