#pragma once

#include "Gateway.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace wigeonlift {

/// Serves the requests of one caller's connection.
class CallerSession {
public:
  CallerSession(Gateway &gateway, std::shared_ptr<CallerConnection> caller);

  boost::asio::awaitable<void> run();

private:
  /// A request's body, or why it wasn't taken.
  struct ReceivedBody {
    std::string Text;
    BodyMemory::Reservation Memory;
    bool IsClosed = false;
    /// Status of the answer to a body that can't be taken; otherwise 0.
    int Rejection = 0;
  };

  /// Whether the connection may carry another request.
  boost::asio::awaitable<bool> serveRequest();
  boost::asio::awaitable<ReceivedBody> receiveBody();
  boost::asio::awaitable<bool> serveRouted(const Route &route, std::string callerAttempt);
  boost::asio::awaitable<bool> relay(WholeAnswer answer);
  boost::asio::awaitable<bool> relay(OpenAnswer answer);
  boost::asio::awaitable<bool> refuse(const ProxiedRequest &request, const Failure &failure);
  /// Answers a request that is not passed on.
  boost::asio::awaitable<bool> reject(int status, std::string_view why, Duration retryAfter = {});
  boost::asio::awaitable<bool> answer(HttpResponseHead head, std::string_view body);
  bool closesAfterAnswer() const;
  bool isAmbiguous() const;
  RequestSpec specFor(const Route &route);
  void applyLimits();

  Gateway &Owner;
  std::shared_ptr<CallerConnection> Caller;
  TimePoint ArrivedAt{};
  bool MustClose = false;
};

} // namespace wigeonlift
