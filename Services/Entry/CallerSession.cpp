#include "CallerSession.h"

#include "EntryHeaders.h"
#include "TicketedCall.h"

#include <fmt/format.h>

#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr Duration SynchronizationRetry = std::chrono::milliseconds{500};
constexpr Duration TicketRetry = std::chrono::seconds{1};
constexpr std::string_view EntriesPath = "/wigeonlift/entries";
constexpr std::string_view TicketsPath = "/wigeonlift/tickets";

Failure notSynchronized() {
  return {.Kind = FailureKind::NotSynchronized, .RetryAfter = SynchronizationRetry};
}

} // namespace

CallerSession::CallerSession(DataPath &path, std::shared_ptr<CallerConnection> caller)
    : Path(path), Caller(std::move(caller)) {}

asio::awaitable<void> CallerSession::run() {
  bool mayGoOn = true;
  while (mayGoOn)
    mayGoOn = co_await serveRequest();
}

asio::awaitable<bool> CallerSession::serveRequest() {
  const ReadResult result = co_await Caller->readHead();
  if (result == ReadResult::Closed)
    co_return false;
  ArrivedAt = Path.parts().Clock.now();
  OwnsBody = result == ReadResult::Complete;
  MustClose = !OwnsBody || !Caller->keepsAlive();
  if (result != ReadResult::Complete || Caller->head().version() < 11)
    co_return co_await refuse({.Kind = FailureKind::BadRequest});
  const std::string_view target = Caller->head().target();
  if (Caller->head().method() == http::verb::get && target == EntriesPath)
    co_return co_await answerEntries();
  if (Caller->head().method() == http::verb::post && target == TicketsPath)
    co_return co_await issueTicket();
  auto matched = match();
  if (const auto *failure = std::get_if<Failure>(&matched))
    co_return co_await refuse(*failure);
  co_return co_await serveCall(std::move(std::get<MatchedRequest>(matched)));
}

asio::awaitable<bool> CallerSession::serveCall(MatchedRequest matched) {
  const auto catalogue = Path.catalogue();
  std::string body;
  if (Caller->awaitsContinue())
    co_await Caller->writeContinue();
  const ReadResult result = co_await Caller->readBody(body, Path.settings().MaxRequestBytes);
  if (result == ReadResult::Closed)
    co_return false;
  const bool isStreamed = result == ReadResult::TooLarge &&
                          matched.Entry->Class == CallClass::Export && Caller->bodyLength() >= 0;
  if (result == ReadResult::TooLarge && !isStreamed)
    co_return co_await refuse({.Kind = FailureKind::BodyTooLarge});
  // The catalogue may have changed while the body arrived, and with it the entry's position.
  if (catalogue != Path.catalogue()) {
    auto again = match();
    if (const auto *failure = std::get_if<Failure>(&again))
      co_return co_await refuse(*failure);
    matched = std::move(std::get<MatchedRequest>(again));
  }
  if (matched.Entry->Class == CallClass::NonIdempotent) {
    TicketedCall call{*this, matched, std::move(body)};
    co_return co_await call.run();
  }
  const auto call = makeCall(matched, std::move(body));
  if (isStreamed) {
    // The attempt reads the body from now on, and may still do so when the call ends early.
    call->BodySource = Caller;
    OwnsBody = false;
    MustClose = true;
  }
  co_return co_await runCall(Path.service(matched.Entry->Service), call);
}

asio::awaitable<bool> CallerSession::runCall(std::shared_ptr<ServiceRunner> service,
                                             std::shared_ptr<ProxiedCall> call) {
  const std::string entry = Path.catalogue()->Entries[call->Spec.Entry].Name;
  Path.usage().didArrive(entry);
  service->callArrived(call);
  if (!call->BodySource)
    Caller->watchForClose([service, id = call->Spec.Id] { service->callerLeft(id); });
  CallDecision decision = co_await call->nextDecision();
  bool mayGoOn = false;
  if (auto *failure = std::get_if<Failure>(&decision)) {
    Path.usage().didFail(entry, failure->Kind);
    mayGoOn = co_await refuse(*failure);
  } else {
    mayGoOn = co_await relay(service, call, std::get<RelayDecision>(decision));
  }
  Caller->stopWatching();
  Path.usage().didEnd(entry);
  co_return mayGoOn;
}

asio::awaitable<bool> CallerSession::relay(std::shared_ptr<ServiceRunner> service,
                                           std::shared_ptr<ProxiedCall> call,
                                           RelayDecision decision) {
  ResponseRelay relay{*service, call, Caller, closesAfterAnswer()};
  const RelayEnd end = co_await relay.run(std::move(decision));
  if (end == RelayEnd::Failed)
    co_return co_await refuse(relay.failure());
  co_return didRelay(end, *call, relay.executed());
}

bool CallerSession::didRelay(RelayEnd end, const ProxiedCall &call, Execution executed) {
  EntryMetrics &metrics = Path.parts().Metrics;
  if (end == RelayEnd::Broken)
    ++metrics.BrokenAnswers;
  if (end != RelayEnd::Complete)
    return false;
  metrics.didRelay(call.Spec.Class, executed, Path.parts().Clock.now() - ArrivedAt);
  return !closesAfterAnswer();
}

asio::awaitable<bool> CallerSession::issueTicket() {
  const auto ticket = Path.tickets().issue(Path.parts().Clock.now());
  if (!ticket)
    co_return co_await refuse({.Kind = FailureKind::TicketCapacity, .RetryAfter = TicketRetry});
  HttpResponseHead head = ownHead(200, Execution::Run);
  head.set(TicketHeader, *ticket);
  const std::string body = fmt::format(R"({{"ticket":"{}","lifetime_ms":{}}})", *ticket,
                                       toMilliseconds(Path.tickets().lifetime()));
  co_return co_await answer(std::move(head), body);
}

asio::awaitable<bool> CallerSession::answer(HttpResponseHead head, std::string_view body) {
  if (OwnsBody && Caller->awaitsContinue()) {
    // It may send the body all the same, so the end of this request is not known.
    MustClose = true;
  } else if (OwnsBody && Caller->hasBody()) {
    // A connection closed with unread data is reset, and the caller may lose the answer.
    std::string unread;
    const ReadResult result = co_await Caller->readBody(unread, Path.settings().MaxRequestBytes);
    MustClose = MustClose || result != ReadResult::Complete;
  }
  Caller->stopWatching();
  if (closesAfterAnswer())
    head.set(http::field::connection, "close");
  const bool isWritten = co_await Caller->write(std::move(head), body, Caller->head().method());
  co_return isWritten && !closesAfterAnswer();
}

asio::awaitable<bool> CallerSession::refuse(Failure failure) {
  Path.parts().Metrics.didFail(failure);
  const std::string body = failureBody(failure);
  co_return co_await answer(failureHead(failure), body);
}

asio::awaitable<bool> CallerSession::answerEntries() {
  // A VM that knows no peer yet would send all who ask to itself, for the lifetime of the answer.
  if (!Path.isSynchronized())
    co_return co_await refuse(notSynchronized());
  co_return co_await answer(ownHead(200, Execution::Run), Path.directory().answer());
}

std::variant<MatchedRequest, Failure> CallerSession::match() const {
  if (!Path.isSynchronized())
    return notSynchronized();
  return matchRequest(*Path.catalogue(), Caller->head());
}

std::shared_ptr<ProxiedCall> CallerSession::makeCall(const MatchedRequest &matched,
                                                     std::string body) {
  const CallSpec spec{.Id = Path.nextCallId(),
                      .Class = matched.Entry->Class,
                      .Entry = matched.EntryIndex,
                      .Deadline = ArrivedAt + matched.Deadline,
                      .ExtraAttempts = matched.ExtraAttempts};
  auto call = std::make_shared<ProxiedCall>(Path.parts().Executor, spec,
                                            upstreamHead(Caller->head()), std::move(body));
  call->RequestId = matched.RequestId;
  return call;
}

bool CallerSession::closesAfterAnswer() const { return MustClose || Path.isLeaving(); }

} // namespace wigeonlift
