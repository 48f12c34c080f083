#include "TicketedCall.h"

#include "EntryHeaders.h"
#include "TicketForward.h"

#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

// The issuer answers at the deadline at the latest; its answer needs time to arrive.
constexpr Duration ForwardMargin = std::chrono::milliseconds{500};
constexpr Duration CapacityRetry = std::chrono::seconds{1};

} // namespace

TicketedCall::TicketedCall(CallerSession &session, const MatchedRequest &match, std::string body)
    : Session(session), Path(session.path()), Match(match), Body(std::move(body)) {}

asio::awaitable<bool> TicketedCall::run() {
  std::string ticket{headerValue(Session.caller().head(), TicketHeader)};
  if (ticket.empty())
    co_return co_await refuse({.Kind = FailureKind::TicketRequired});
  co_return co_await begin(std::move(ticket));
}

asio::awaitable<bool> TicketedCall::begin(std::string ticket) {
  const HttpRequestHead &head = Session.caller().head();
  const auto digest = RequestDigest::of(head.method_string(), head.target(), Body);
  const BeginResult result = Path.tickets().begin(ticket, digest, Path.parts().Clock.now());
  if (const auto *started = std::get_if<TicketStarted>(&result))
    co_return co_await runCall(started->Id);
  if (const auto *running = std::get_if<TicketRunning>(&result))
    co_return co_await awaitOutcome(running->Id);
  if (const auto *finished = std::get_if<TicketFinished>(&result))
    co_return co_await answerOutcome(finished->Outcome);
  if (const auto *foreign = std::get_if<TicketForeign>(&result))
    co_return co_await forward(foreign->Boot);
  co_return co_await Session.refuse(std::get<Failure>(result));
}

asio::awaitable<bool> TicketedCall::runCall(TicketId id) {
  const auto service = Path.service(Match.Entry->Service);
  const auto call = Session.makeCall(Match, std::move(Body));
  const std::string entry = Match.Entry->Name;
  Path.usage().didArrive(entry);
  service->callArrived(call);
  CallDecision decision = co_await call->nextDecision();
  Path.usage().didEnd(entry);
  if (const auto *failure = std::get_if<Failure>(&decision)) {
    Path.usage().didFail(entry, failure->Kind);
    finish(id, TicketOutcome::ofFailure(failure->Kind, failure->Executed));
    co_return co_await refuse(*failure);
  }
  co_return co_await relay(service, call, std::get<RelayDecision>(decision), id);
}

asio::awaitable<bool> TicketedCall::relay(std::shared_ptr<ServiceRunner> service,
                                          std::shared_ptr<ProxiedCall> call, RelayDecision decision,
                                          TicketId id) {
  ResponseRelay relay{*service, call, Session.sharedCaller(), Session.closesAfterAnswer()};
  relay.record([&](TicketOutcome outcome) { finish(id, std::move(outcome)); });
  const RelayEnd end = co_await relay.run(std::move(decision));
  if (end == RelayEnd::Failed) {
    finish(id, TicketOutcome::ofFailure(relay.failure().Kind, relay.failure().Executed));
    co_return co_await Session.refuse(relay.failure());
  }
  if (end == RelayEnd::Broken)
    finish(id, TicketOutcome::ofFailure(FailureKind::ConnectionLost, relay.executed()));
  co_return Session.didRelay(end, *call, relay.executed());
}

void TicketedCall::finish(TicketId id, TicketOutcome outcome) {
  Path.tickets().finish(id, std::move(outcome), Path.parts().Clock.now());
}

asio::awaitable<bool> TicketedCall::awaitOutcome(TicketId id) {
  const TimePoint until = Session.arrivedAt() + Match.Deadline;
  const auto outcome = co_await Path.tickets().wait(id, until);
  if (outcome)
    co_return co_await answerOutcome(outcome);
  co_return co_await Session.refuse(
      {.Kind = FailureKind::DeadlineExceeded, .Executed = Execution::Unknown});
}

asio::awaitable<bool> TicketedCall::answerOutcome(std::shared_ptr<const TicketOutcome> outcome) {
  if (outcome->FailureReason)
    co_return co_await refuse({.Kind = *outcome->FailureReason, .Executed = outcome->Executed});
  HttpResponseHead head = ownHead(outcome->HttpStatus, outcome->Executed);
  head.erase(boost::beast::http::field::content_type);
  for (const RecordedHeader &it : outcome->Headers)
    head.set(it.Name, it.Value);
  co_return co_await Session.answer(std::move(head), outcome->Body);
}

asio::awaitable<bool> TicketedCall::forward(BootId issuer) {
  const HttpRequestHead &head = Session.caller().head();
  const Failure gone{.Kind = FailureKind::TicketOwnerGone, .Executed = Execution::Unknown};
  const std::string *address = Path.directory().addressOf(issuer);
  const auto endpoint = address ? parseEndpoint(*address) : std::nullopt;
  // A forwarded request that ends here came to the address of an incarnation that is gone.
  if (!endpoint || !headerValue(head, ForwardedHeader).empty())
    co_return co_await Session.refuse(gone);
  ++Path.parts().Metrics.TicketsForwarded;
  const TimePoint deadline = Session.arrivedAt() + Match.Deadline;
  const Duration timeLeft = deadline - Path.parts().Clock.now();
  const ForwardEnd end = co_await forwardRequest(
      *endpoint, forwardedHead(head, timeLeft, Body.size()), Body, deadline + ForwardMargin,
      Session.sharedCaller(), Session.closesAfterAnswer());
  if (end == ForwardEnd::NoAnswer)
    co_return co_await Session.refuse(gone);
  co_return end == ForwardEnd::Complete && !Session.closesAfterAnswer();
}

asio::awaitable<bool> TicketedCall::refuse(Failure failure) {
  HttpResponseHead head = failureHead(failure);
  if (failure.Executed == Execution::NotRun) {
    const auto fresh = Path.tickets().issue(Path.parts().Clock.now());
    if (fresh)
      head.set(TicketHeader, *fresh);
    else if (failure.Kind == FailureKind::TicketRequired)
      co_return co_await Session.refuse(
          {.Kind = FailureKind::TicketCapacity, .RetryAfter = CapacityRetry});
  }
  Path.parts().Metrics.didFail(failure);
  const std::string body = failureBody(failure);
  co_return co_await Session.answer(std::move(head), body);
}

} // namespace wigeonlift
