#include "CallerSession.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
// For the caller to take the last answer and close the connection itself.
constexpr Duration LingerSpan = std::chrono::seconds{1};
// A larger answer that waits for earlier ones stays at the upstream until its turn.
constexpr std::size_t MaxWaitingAnswerBytes = std::size_t{256} * 1024;

void wake(asio::steady_timer &event) { event.cancel(); }

} // namespace

CallerSession::CallerSession(Gateway &gateway, std::shared_ptr<CallerConnection> caller)
    : Owner(gateway), Caller(std::move(caller)),
      Intake(gateway, *Caller, [this] { return awaitAllAnswered(); }), Writer(gateway, *Caller),
      RequestAdded(gateway.context(), asio::steady_timer::time_point::max()),
      RequestAnswered(gateway.context(), asio::steady_timer::time_point::max()),
      TaskEnded(gateway.context(), asio::steady_timer::time_point::max()),
      Linger(gateway.context()) {}

asio::awaitable<void> CallerSession::run() {
  // Both tasks use this session, so it waits for them also when one ends by an exception.
  const auto didEnd = [this](const std::exception_ptr &failure) {
    if (failure) {
      IsEnding = true;
      Caller->close();
      // The other task may wait for this one.
      abandonRequests();
      wake(RequestAdded);
      wake(RequestAnswered);
    }
    --RunningTasks;
    wake(TaskEnded);
  };
  const auto executor = co_await asio::this_coro::executor;
  RunningTasks = 2;
  asio::co_spawn(executor, readRequests(), didEnd);
  asio::co_spawn(executor, writeAnswers(), didEnd);
  while (RunningTasks > 0)
    co_await TaskEnded.async_wait(Completion);
}

asio::awaitable<void> CallerSession::readRequests() {
  bool isOpen = true;
  while (isOpen && !IsInputEnded && !IsEnding) {
    isOpen = co_await awaitRoom();
    if (isOpen && !IsEnding)
      isOpen = co_await readRequest();
  }
  if (isOpen)
    isOpen = co_await awaitAllAnswered();
  IsInputEnded = true;
  if (!isOpen) {
    IsCallerGone = true;
    abandonRequests();
  }
  wake(RequestAdded);
  // Nothing comes behind the caller's close, and nothing would tell so a second time.
  if (isOpen && !HasInputClosed)
    co_await Caller->discardInput();
  Linger.cancel();
  Caller->close();
}

asio::awaitable<bool> CallerSession::readRequest() {
  auto pending = co_await Intake.next();
  if (!pending) {
    HasInputClosed = true;
    co_return IsEnding;
  }
  if (!IsEnding)
    take(std::move(*pending));
  co_return true;
}

asio::awaitable<bool> CallerSession::awaitRoom() {
  bool isOpen = true;
  while (isOpen && !Pipeline.mayRead() && !IsEnding)
    isOpen = co_await awaitAnswer();
  co_return isOpen;
}

asio::awaitable<bool> CallerSession::awaitAllAnswered() {
  bool isOpen = true;
  while (isOpen && Pipeline.unanswered() > 0 && !IsEnding)
    isOpen = co_await awaitAnswer();
  co_return isOpen;
}

asio::awaitable<bool> CallerSession::awaitAnswer() {
  const auto isDone = [this, before = Answered] { return Answered != before || IsEnding; };
  if (!co_await Caller->readAhead(StopReadAhead, isDone))
    co_return false;
  // The buffer may be full.
  if (!isDone())
    co_await RequestAnswered.async_wait(Completion);
  co_return true;
}

void CallerSession::take(PendingRequest pending) {
  IsInputEnded = pending.EndsConnection;
  const std::size_t bodyBytes = pending.Request ? pending.Request->Body.size() : 0;
  Pipeline.add(pending.mode(), bodyBytes);
  Pending.push_back(std::move(pending));
  Caller->setUnanswered(Pending.size(), bootTimeNow());
  startRequests();
  wake(RequestAdded);
}

bool CallerSession::mayOvertake() const {
  return Owner.heldAnswerMemory().room() >= MaxWaitingAnswerBytes;
}

void CallerSession::startRequests() {
  for (const PipelinePosition it : Pipeline.takeStartable(mayOvertake())) {
    const std::size_t n = static_cast<std::uint64_t>(it) - Answered - 1;
    start(Pending[n], n > 0);
  }
}

void CallerSession::start(PendingRequest &pending, bool isBehindOthers) {
  if (!pending.Request || !pending.Service)
    return;
  if (isBehindOthers) {
    pending.Request->MaxHeldBytes = MaxWaitingAnswerBytes;
    pending.Request->AnswerMemory = nullptr;
    pending.HeldAnswer = Owner.heldAnswerMemory().reserve(MaxWaitingAnswerBytes);
  }
  pending.Service->requestArrived(pending.Request);
}

asio::awaitable<void> CallerSession::writeAnswers() {
  while (!IsCallerGone && !IsEnding) {
    if (Pending.empty()) {
      if (IsInputEnded)
        break;
      co_await RequestAdded.async_wait(Completion);
      continue;
    }
    if (!co_await answerFront())
      break;
  }
  IsEnding = true;
  abandonRequests();
  wake(RequestAnswered);
  StopReadAhead.emit(asio::cancellation_type::terminal);
  Caller->closeSending();
  Linger.expires_after(LingerSpan);
  Linger.async_wait([caller = Caller](const boost::system::error_code &ec) {
    if (!ec)
      caller->close();
  });
}

asio::awaitable<bool> CallerSession::answerFront() {
  PendingRequest &pending = Pending.front();
  std::optional<RequestOutcome> outcome;
  if (pending.Request)
    outcome = co_await pending.Request->nextOutcome();
  if (IsCallerGone || (outcome && std::holds_alternative<CallerGone>(*outcome)))
    co_return false;
  IsEnding = closesAfterFront();
  const AfterAnswer after = IsEnding ? AfterAnswer::Close : AfterAnswer::KeepOpen;
  const bool isWritten = outcome ? co_await Writer.write(pending, std::move(*outcome), after)
                                 : co_await Writer.write(pending, *pending.Rejected, after);
  didAnswerFront();
  co_return isWritten && !IsEnding;
}

bool CallerSession::closesAfterFront() const {
  const bool isLast = Pending.size() == 1 && !Intake.isReceiving() && !Caller->hasUnreadInput();
  return Pending.front().EndsConnection || (Owner.isStopping() && isLast);
}

void CallerSession::didAnswerFront() {
  Pending.pop_front();
  Pipeline.didAnswerFront();
  ++Answered;
  Caller->setUnanswered(Pending.size(), bootTimeNow());
  if (!IsEnding)
    startRequests();
  wake(RequestAnswered);
  StopReadAhead.emit(asio::cancellation_type::terminal);
}

void CallerSession::abandonRequests() {
  for (PendingRequest &it : Pending) {
    if (!it.Request || it.Request->isDecided())
      continue;
    Owner.counts().CallersLeft += IsCallerGone ? 1 : 0;
    if (it.Service)
      it.Service->callerLeft(it.Request->Spec.Id);
    it.Request->deliver(CallerGone{});
  }
}

} // namespace wigeonlift
