#include "StoreTask.h"

#include "KeepRunning.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

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
      Sync(fleet.fleet(), seed), Timer(gateway.context()) {}

void StoreTask::start() {
  keepRunning(Owner.context(), Owner.eventLog(), "store", [this] { return run(); });
}

asio::awaitable<void> StoreTask::waitForPeers() {
  const TimePoint end = bootTimeNow() + FirstStartWait;
  while (Peers.replica().isEmpty() && bootTimeNow() < end)
    co_await pause(FirstStartCheck);
  if (!Peers.replica().isEmpty())
    Sync.didReceiveFullCopy();
}

asio::awaitable<void> StoreTask::run() {
  // VMs that start together don't all have to ask the store, as long as no callers wait.
  if (Owner.settings().IsFirstStart && !Peers.isSeed())
    co_await waitForPeers();
  while (true) {
    const StoreCall call = Sync.next(bootTimeNow());
    co_await perform(call);
    logConnection();
    // Until the first configuration is known, nothing is worth more than to get it.
    const bool mayPause = Owner.plans().current() || Sync.isDisconnected() ||
                          call.Step == StoreSyncStep::WaitForPeers;
    if (mayPause)
      co_await pause(Sync.pause(bootTimeNow()));
  }
}

asio::awaitable<void> StoreTask::perform(StoreCall call) {
  switch (call.Step) {
  case StoreSyncStep::WaitForPeers:
    if (call.Question)
      Peers.send({*call.Question});
    co_return;
  case StoreSyncStep::CheckRevision:
    co_return co_await checkRevision(call);
  case StoreSyncStep::ReadAll:
    co_return co_await readAll(call);
  case StoreSyncStep::Watch:
    co_return co_await watch(call);
  }
}

asio::awaitable<void> StoreTask::checkRevision(const StoreCall &call) {
  const auto revision = co_await Client.readRevision(call.Timeout);
  if (!revision.ok())
    co_return didFail(revision.status(), "check");
  Peers.publish(Sync.didCheck(*revision, bootTimeNow()), "store");
}

asio::awaitable<void> StoreTask::readAll(const StoreCall &call) {
  StoreIntake intake = Peers.fleet().intake(IntakeKind::Copy);
  const auto delta = co_await Client.readAll(call.Timeout, intake);
  if (!delta.ok())
    co_return didFail(delta.status(), "read");
  Peers.publish(Sync.didReadAll(*delta, bootTimeNow()), "store");
}

asio::awaitable<void> StoreTask::watch(const StoreCall &call) {
  StoreIntake intake = Peers.fleet().intake(IntakeKind::Changes);
  const auto delta = co_await Client.watch(call.After, call.Wait, call.Timeout, intake);
  if (!delta.ok())
    co_return didFail(delta.status(), "watch");
  Peers.publish(Sync.didWatch(*delta, bootTimeNow()), "store");
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
                          revisionField("rev", Peers.replica().revision())});
  Peers.publish(Sync.didFail(failureOf(status), bootTimeNow()), "store");
}

void StoreTask::logConnection() {
  if (!std::exchange(WasLost, Sync.isDisconnected()) && Sync.isDisconnected())
    Owner.eventLog().write(EventLog::Priority::Important, "store_lost", {});
  if (!std::exchange(WasRecovering, Sync.isRecovering()) && Sync.isRecovering())
    Owner.eventLog().write(EventLog::Priority::Important, "store_regained", {});
}

} // namespace wigeonlift
