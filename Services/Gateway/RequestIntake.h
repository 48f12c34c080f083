#pragma once

#include "Gateway.h"
#include "PendingRequest.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace wigeonlift {

/// Reads the requests of one connection and decides for each whether it is passed on and where to.
class RequestIntake {
public:
  /// Returns when the caller has all answers to its earlier requests, so that an interim answer may
  /// be written; false when the caller has closed the connection.
  using Turn = std::function<boost::asio::awaitable<bool>()>;

  RequestIntake(Gateway &gateway, CallerConnection &caller, Turn turn);

  /// Waits for the next request; nothing when the caller has closed the connection.
  boost::asio::awaitable<std::optional<PendingRequest>> next();

  /// Whether the head of a request has arrived and the rest of it is awaited.
  bool isReceiving() const { return IsReceiving; }

private:
  /// Judges the head that was read and takes the rest of the request.
  boost::asio::awaitable<std::optional<PendingRequest>> receiveRest(ReadResult headResult);
  void applyLimits();
  /// Finds the route of a request by its head, or why it isn't passed on.
  std::optional<Rejection> judgeHead(ReadResult result, std::optional<Route> &route);
  /// Reads the body and prepares the request. False when the caller has closed the connection.
  boost::asio::awaitable<bool> receive(const Route &route, PendingRequest &pending);
  /// Reads the body; one that can't be taken marks the request as rejected. False when the caller
  /// has closed the connection.
  boost::asio::awaitable<bool> receiveBody(std::string &body, PendingRequest &pending);
  void rejectBody(PendingRequest &pending, bool lacksMemory);
  /// Reads the body of a rejected request, behind which the next one begins. False when the caller
  /// has closed the connection.
  boost::asio::awaitable<bool> skipBody(PendingRequest &pending);
  void logRejection(const Rejection &rejection);
  bool isAmbiguous() const;
  /// How long the caller says that it waits from the arrival of its request.
  std::optional<Duration> statedTimeLeft() const;
  RequestSpec specFor(const Route &route);
  std::size_t maxBodyBytes() const;

  Gateway &Owner;
  CallerConnection &Caller;
  Turn WaitForTurn;
  TimePoint ArrivedAt{};
  bool IsReceiving = false;
};

} // namespace wigeonlift
