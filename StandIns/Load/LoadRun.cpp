#include <StandIns/Load/LoadRun.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);

} // namespace

LoadRun::LoadRun(const LoadOptions &options, std::shared_ptr<const Catalogue> catalogue,
                 CallMix mix, HistoryWriter &history)
    : Options(options), Spec(std::move(catalogue)), Mix(std::move(mix)) {
  for (std::size_t n = 0; n < static_cast<std::size_t>(options.Callers); ++n)
    Callers.push_back(std::make_unique<Caller>(
        Context, Options, Spec->Dialects[n % Spec->Dialects.size()], n, history));
}

std::vector<CallOutcome> LoadRun::run() {
  asio::co_spawn(Context, beginCalls(), asio::detached);
  Context.run();
  return std::move(Outcomes);
}

asio::awaitable<void> LoadRun::beginCalls() {
  asio::steady_timer timer{Context};
  const TimePoint start = std::chrono::steady_clock::now();
  TimePoint due = start;
  for (std::uint64_t number = 0;; ++number) {
    due += Mix.nextGap();
    if (due >= start + Options.Length)
      co_return;
    timer.expires_at(due);
    co_await timer.async_wait(Completion);
    Caller &caller = *Callers[number % Callers.size()];
    const bool isWarmUp = due < start + Options.WarmUp;
    asio::co_spawn(Context, makeCall(caller, Mix.nextEntry(), number, due, isWarmUp),
                   asio::detached);
  }
}

asio::awaitable<void> LoadRun::makeCall(Caller &caller, const EntrySpec &entry,
                                        std::uint64_t number, TimePoint due, bool isWarmUp) {
  // The start time keeps the operations of two runs with one seed apart.
  const auto runId = due.time_since_epoch().count();
  std::string operation = fmt::format("{}-{}-{}", Options.Seed, number, runId);
  const bool isDirect =
      !Options.DirectUpstreams.empty() && (number % 2 == 1 || Options.Entries.empty());
  CallOutcome outcome = co_await caller.call(entry, std::move(operation), due, isDirect);
  outcome.IsWarmUp = isWarmUp;
  Outcomes.push_back(std::move(outcome));
}

} // namespace wigeonlift
