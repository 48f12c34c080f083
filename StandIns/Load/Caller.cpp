#include <StandIns/Load/Caller.h>

#include <LibHttp/LibHttp.h>
#include <StandIns/Common/Clock.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
constexpr int MaxTries = 8;
constexpr int MaxTickets = 4;
constexpr auto RepeatPause = std::chrono::milliseconds{20};
constexpr auto AskTimeout = std::chrono::seconds{1};

/// Failures after which another entry VM, or the same one a little later, may do better.
bool mayDoBetterElsewhere(std::string_view failure) {
  constexpr std::array<std::string_view, 8> names{
      FailureNotConnected, FailureBroken,    FailureTimeout,         "shutting-down",
      "not-synchronized",  "ticket-invalid", "upstream-unreachable", "connection-lost"};
  return std::ranges::find(names, failure) != names.end();
}

std::vector<std::string> seedsOf(const LoadOptions &options) {
  return options.Entries.empty() ? std::vector<std::string>{""} : options.Entries;
}

} // namespace

Caller::Caller(asio::io_context &context, const LoadOptions &options, const DialectSpec &dialect,
               std::size_t number, HistoryWriter &history)
    : Context(context), Options(options), Identity(dialect), Directory(seedsOf(options), number),
      History(history), Source(options.Seed + number) {}

asio::awaitable<CallOutcome> Caller::call(const EntrySpec &entry, std::string operation,
                                          TimePoint due, bool isDirect) {
  Progress progress{.Entry = entry,
                    .Operation = std::move(operation),
                    .GiveUpAt = due + Options.GiveUpAfter,
                    .Outcome = {},
                    .RequestId = {},
                    .Ticket = {}};
  progress.Outcome.Class = entry.Class;
  progress.Outcome.IsDirect = isDirect;
  beginRequest(progress);
  // Half of the callers ask for a ticket first; the others learn of it from the refusal.
  if (entry.Class == CallClass::NonIdempotent && !isDirect && Source.below(2) == 0)
    co_await askForTicket(progress);
  while (true) {
    const TryResult result = co_await tryOnce(progress);
    didTry(progress, result);
    if (!mustRepeat(progress, result))
      break;
    if (result.Failure != "ticket-required")
      co_await pause(RepeatPause * progress.Outcome.Tries);
  }
  progress.Outcome.Latency = currentTime() - due;
  co_return std::move(progress.Outcome);
}

asio::awaitable<TryResult> Caller::tryOnce(Progress &progress) {
  CallOutcome &outcome = progress.Outcome;
  outcome.Address = co_await chooseAddress(outcome.IsDirect);
  History.write(CallEvent{progress.RequestId, progress.Operation, progress.Try,
                          progress.Entry.Class, progress.Ticket, outcome.Address});
  TryResult result = co_await send(outcome.Address, requestOf(progress), entityOf(progress));
  AnswerEvent answer{.Request = progress.RequestId,
                     .Try = progress.Try,
                     .Status = static_cast<std::uint64_t>(result.Status),
                     .Executed = result.Status == 0 ? Execution::Unknown : result.Executed,
                     .Failure = {},
                     .IsWhole = result.IsWhole,
                     .IsOwn = result.IsOwn};
  if (!result.Failure.empty())
    answer.Failure = result.Failure;
  History.write(std::move(answer));
  const bool isDead = result.Status == 0 || result.Failure == "shutting-down" ||
                      result.Failure == "not-synchronized" || result.IsClosing;
  if (isDead)
    Directory.didFail(outcome.Address);
  co_return result;
}

asio::awaitable<TryResult> Caller::send(const std::string &address, HttpRequest request,
                                        Entity expected) {
  auto &idle = Idle[address];
  std::unique_ptr<CallConnection> connection;
  if (idle.empty()) {
    connection = std::make_unique<CallConnection>(Context.get_executor());
    const auto endpoint = parseEndpoint(address);
    const bool isConnected = endpoint && co_await connection->connect(*endpoint);
    if (!isConnected)
      co_return TryResult{
          .Executed = Execution::NotRun, .Failure = FailureNotConnected, .Ticket = {}};
  } else {
    connection = std::move(idle.back());
    idle.pop_back();
  }
  TryResult result =
      co_await connection->exchange(std::move(request), std::move(expected), Options.AnswerTimeout);
  if (connection->isReusable())
    idle.push_back(std::move(connection));
  co_return result;
}

asio::awaitable<std::string> Caller::chooseAddress(bool isDirect) {
  if (isDirect)
    co_return Options.DirectUpstreams[Source.below(Options.DirectUpstreams.size())];
  if (const auto current = Directory.current(currentTime()))
    co_return *current;
  for (std::size_t n = 0; n < Options.Entries.size(); ++n) {
    const auto endpoint = parseEndpoint(Directory.nextToAsk());
    if (!endpoint)
      continue;
    HttpRequest request{http::verb::get, "/wigeonlift/entries", 11};
    const auto response = co_await fetch(*endpoint, std::move(request), AskTimeout);
    const auto answer = response.ok() ? parseEntriesAnswer(response->body()) : std::nullopt;
    if (!answer)
      continue;
    Directory.remember(answer->Addresses, answer->Lifetime, currentTime());
    co_return answer->Addresses.front();
  }
  co_return Directory.nextToAsk();
}

asio::awaitable<void> Caller::askForTicket(Progress &progress) {
  const auto endpoint = parseEndpoint(co_await chooseAddress(false));
  if (!endpoint)
    co_return;
  HttpRequest request{http::verb::post, "/wigeonlift/tickets", 11};
  const auto response = co_await fetch(*endpoint, std::move(request), AskTimeout);
  if (!response.ok())
    co_return;
  if (const auto ticket = (*response)["Wigeonlift-Ticket"]; !ticket.empty())
    progress.Ticket = std::string{ticket.data(), ticket.size()};
}

asio::awaitable<void> Caller::pause(Duration span) {
  asio::steady_timer timer{Context, span};
  co_await timer.async_wait(Completion);
}

bool Caller::mustRepeat(Progress &progress, const TryResult &result) {
  if (progress.Outcome.IsDirect || progress.Outcome.Tries >= MaxTries ||
      currentTime() >= progress.GiveUpAt)
    return false;
  if (progress.Entry.Class == CallClass::NonIdempotent)
    return mustRepeatEffect(progress, result);
  if (!mayDoBetterElsewhere(result.Failure))
    return false;
  beginRequest(progress);
  return true;
}

bool Caller::mustRepeatEffect(Progress &progress, const TryResult &result) {
  const bool needsTicket = result.Failure == "ticket-required";
  const bool isSettled = result.Executed == Execution::NotRun && result.Status != 0;
  if (isSettled && (needsTicket || mayDoBetterElsewhere(result.Failure))) {
    if (progress.Tickets++ >= MaxTickets)
      return false;
    // Without a fresh ticket the next request is refused and gets one.
    progress.Ticket = result.Ticket;
    beginRequest(progress);
    return true;
  }
  // The outcome is not known yet: the same request with the same ticket may learn it.
  const bool isOpen =
      result.Status == 0 || !result.HasEnded || result.Failure == "ticket-owner-gone";
  if (!isOpen)
    return false;
  if (!progress.Ticket)
    beginRequest(progress);
  else
    ++progress.Try;
  return true;
}

void Caller::beginRequest(Progress &progress) {
  auto &requests = progress.Outcome.Requests;
  progress.RequestId = fmt::format("{}.{}", progress.Operation, requests.size());
  progress.Try = 0;
  requests.push_back(progress.RequestId);
}

void Caller::didTry(Progress &progress, const TryResult &result) {
  CallOutcome &outcome = progress.Outcome;
  ++outcome.Tries;
  // A connection that can't be opened says nothing about earlier tries of the same request.
  const bool isOpen = result.Failure == FailureNotConnected && progress.Try > 0;
  outcome.Executed = isOpen ? Execution::Unknown : result.Executed;
  outcome.Failure = result.Failure;
  outcome.IsIncomplete = result.Status != 0 && !result.HasEnded;
  outcome.IsWrong = outcome.IsWrong || result.isWrong();
  if (result.Executed == Execution::NotRun && result.Status != 0)
    outcome.NotRunRequests.push_back(progress.RequestId);
}

HttpRequest Caller::requestOf(const Progress &progress) const {
  std::string target = fmt::format("{}/{}", progress.Entry.PathPrefix, progress.Operation);
  if (progress.Entry.Class == CallClass::Export)
    target += fmt::format("?bytes={}", Options.ExportBytes);
  HttpRequest request =
      Identity.request(progress.Entry, target, progress.RequestId, Options.Deadline);
  if (progress.Ticket)
    request.set("Wigeonlift-Ticket", *progress.Ticket);
  return request;
}

Entity Caller::entityOf(const Progress &progress) const {
  if (progress.Entry.Class == CallClass::Export)
    return {fmt::format("{}/{}", progress.Entry.PathPrefix, progress.Operation),
            Options.ExportBytes};
  return {progress.RequestId, Options.AnswerBytes};
}

} // namespace wigeonlift
