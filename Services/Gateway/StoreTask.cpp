#include "StoreTask.h"

#include "KeepRunning.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

constexpr Duration ReadTimeout = std::chrono::milliseconds{1000};
// A store that is slow still answers a call without content within this time.
constexpr Duration CheckTimeout = std::chrono::milliseconds{700};
// A watch that hears nothing for long may be dead without a sign.
constexpr Duration WatchWait = std::chrono::milliseconds{2000};
constexpr Duration WatchTimeout = std::chrono::milliseconds{2500};
constexpr Duration FirstStartWait = std::chrono::milliseconds{2000};
constexpr Duration FirstStartCheck = std::chrono::milliseconds{250};

StoreFailure failureOf(const absl::Status &status) {
  if (absl::IsOutOfRange(status))
    return StoreFailure::HistoryUnavailable;
  return absl::IsDeadlineExceeded(status) ? StoreFailure::TimedOut : StoreFailure::Unreachable;
}

} // namespace

StoreTask::StoreTask(Gateway &gateway, FleetTask &fleet, std::uint64_t seed)
    : Owner(gateway), Peers(fleet), Client(*parseEndpoint(gateway.settings().StoreAddress)),
      Rng(seed), Timer(gateway.context()) {}

void StoreTask::start() {
  keepRunning(Owner.context(), Owner.eventLog(), "store", [this] { return run(); });
}

asio::awaitable<void> StoreTask::waitForPeers() {
  const TimePoint end = bootTimeNow() + FirstStartWait;
  while (Peers.replica().isEmpty() && bootTimeNow() < end)
    co_await pause(FirstStartCheck);
  if (!Peers.replica().isEmpty())
    Plan.didReceiveFullCopy();
}

asio::awaitable<void> StoreTask::run() {
  // VMs that start together don't all have to ask the store, as long as no callers wait.
  if (Owner.settings().IsFirstStart && !Peers.isSeed())
    co_await waitForPeers();
  while (true) {
    const StoreSyncStep step = Plan.nextStep(Peers.mustWatch(), bootTimeNow());
    switch (step) {
    case StoreSyncStep::WaitForPeers:
      break;
    case StoreSyncStep::CheckRevision:
      co_await check();
      break;
    case StoreSyncStep::ReadAll:
      co_await readAll();
      break;
    case StoreSyncStep::Watch:
      co_await watch();
      break;
    }
    publish();
    // Until the first configuration is known, nothing is worth more than to get it.
    const bool mayFold =
        Owner.plans().current() || Plan.isDisconnected() || step == StoreSyncStep::WaitForPeers;
    if (mayFold)
      co_await pause(Plan.pause(Rng.unit()));
  }
}

asio::awaitable<void> StoreTask::check() {
  const auto theirs = co_await Client.readRevision(CheckTimeout);
  if (!theirs.ok())
    co_return didFail(theirs.status(), "check");
  Peers.didReachStore();
  Plan.didCheck(*theirs, Peers.replica().revision(), bootTimeNow());
}

asio::awaitable<void> StoreTask::readAll() {
  const StoreRevision before = Peers.replica().revision();
  const auto delta = co_await Client.readAll(ReadTimeout);
  if (!delta.ok())
    co_return didFail(delta.status(), "read");
  Plan.didReadAll(bootTimeNow());
  Peers.didLearn(*delta, before);
}

asio::awaitable<void> StoreTask::watch() {
  const StoreRevision after = Peers.replica().revision();
  const auto delta = co_await Client.watch(after, WatchWait, WatchTimeout);
  if (!delta.ok())
    co_return didFail(delta.status(), "watch");
  Plan.didWatch(bootTimeNow());
  Peers.didLearn(*delta, after);
}

asio::awaitable<void> StoreTask::pause(Duration span) {
  if (span == Duration::zero())
    co_return;
  Timer.expires_after(span);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void StoreTask::didFail(const absl::Status &status, std::string_view call) {
  Owner.eventLog().write(EventLog::Priority::Important, "store_call_failed",
                         {{"call", std::string{call}},
                          {"why", status.ToString()},
                          {"rev", fmt::format("{}", Peers.replica().revision())}});
  Plan.didFail(failureOf(status), bootTimeNow());
}

void StoreTask::publish() {
  if (std::exchange(WasLost, Plan.isDisconnected()) != Plan.isDisconnected()) {
    Peers.setStoreDisconnected(Plan.isDisconnected());
    if (Plan.isDisconnected())
      Owner.eventLog().write(EventLog::Priority::Important, "store_lost", {});
  }
  if (!std::exchange(WasRecovering, Plan.isRecovering()) && Plan.isRecovering())
    Owner.eventLog().write(EventLog::Priority::Important, "store_regained", {});
}

} // namespace wigeonlift
