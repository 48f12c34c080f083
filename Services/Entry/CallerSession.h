#pragma once

#include "DataPath.h"
#include "ResponseRelay.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace wigeonlift {

/// Serves the requests of one caller's connection, one after the other.
class CallerSession {
public:
  CallerSession(DataPath &path, std::shared_ptr<CallerConnection> caller);

  boost::asio::awaitable<void> run();

  // For the parts that serve one kind of request. Functions that answer return whether the
  // connection can carry another request.
  boost::asio::awaitable<bool> answer(HttpResponseHead head, std::string_view body);
  boost::asio::awaitable<bool> refuse(Failure failure);
  std::shared_ptr<ProxiedCall> makeCall(const MatchedRequest &match, std::string body);
  /// Counts a response that was relayed.
  bool didRelay(RelayEnd end, const ProxiedCall &call, Execution executed);
  bool closesAfterAnswer() const;
  DataPath &path() { return Path; }
  CallerConnection &caller() { return *Caller; }
  const std::shared_ptr<CallerConnection> &sharedCaller() const { return Caller; }
  TimePoint arrivedAt() const { return ArrivedAt; }

private:
  boost::asio::awaitable<bool> serveRequest();
  boost::asio::awaitable<bool> serveCall(MatchedRequest match);
  boost::asio::awaitable<bool> runCall(std::shared_ptr<ServiceRunner> service,
                                       std::shared_ptr<ProxiedCall> call);
  boost::asio::awaitable<bool> relay(std::shared_ptr<ServiceRunner> service,
                                     std::shared_ptr<ProxiedCall> call, RelayDecision decision);
  boost::asio::awaitable<bool> issueTicket();
  boost::asio::awaitable<bool> answerEntries();

  /// Fails with NotSynchronized before the catalogue is known.
  std::variant<MatchedRequest, Failure> match() const;

  DataPath &Path;
  std::shared_ptr<CallerConnection> Caller;
  TimePoint ArrivedAt{};
  bool MustClose = false;
  /// What is left of the request's body may be read here.
  bool OwnsBody = false;
};

} // namespace wigeonlift
