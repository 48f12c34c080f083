#pragma once

#include "AnswerWriter.h"
#include "Gateway.h"
#include "PendingRequest.h"
#include "RequestIntake.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <memory>

namespace wigeonlift {

/// Serves the requests of one caller's connection. Pipelined requests are read ahead, idempotent
/// ones run concurrently, and the answers leave in the order of the requests.
class CallerSession {
public:
  CallerSession(Gateway &gateway, std::shared_ptr<CallerConnection> caller);

  boost::asio::awaitable<void> run();

private:
  boost::asio::awaitable<void> readRequests();
  boost::asio::awaitable<void> writeAnswers();
  /// Takes the next request. False when the caller has closed the connection.
  boost::asio::awaitable<bool> readRequest();
  /// Waits until another request may be read. False when the caller has closed the connection.
  boost::asio::awaitable<bool> awaitRoom();
  /// Waits until all requests are answered or the answers end. False when the caller has closed the
  /// connection.
  boost::asio::awaitable<bool> awaitAllAnswered();
  /// Waits until another request is answered or the answers end. False when the caller has closed
  /// the connection.
  boost::asio::awaitable<bool> awaitAnswer();
  /// Answers the first request. False when the connection carries no further answers.
  boost::asio::awaitable<bool> answerFront();
  void take(PendingRequest pending);
  void startRequests();
  void start(PendingRequest &pending, bool isBehindOthers);
  void didAnswerFront();
  /// Cancels the work for all unanswered requests.
  void abandonRequests();
  bool mayOvertake() const;
  bool closesAfterFront() const;

  Gateway &Owner;
  std::shared_ptr<CallerConnection> Caller;
  RequestIntake Intake;
  AnswerWriter Writer;
  RequestPipeline Pipeline;
  /// The unanswered requests, in the order of the pipeline.
  std::deque<PendingRequest> Pending;
  std::uint64_t Answered = 0;
  int RunningTasks = 0;
  bool IsCallerGone = false;
  /// The caller has closed its side, also when it did so behind its last answer.
  bool HasInputClosed = false;
  /// No further request is read.
  bool IsInputEnded = false;
  /// No answer follows the current one.
  bool IsEnding = false;
  boost::asio::steady_timer RequestAdded;
  boost::asio::steady_timer RequestAnswered;
  boost::asio::steady_timer TaskEnded;
  boost::asio::steady_timer Linger;
  boost::asio::cancellation_signal StopReadAhead;
};

} // namespace wigeonlift
