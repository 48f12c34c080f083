#pragma once

#include "CallerSession.h"

#include <LibTicket/LibTicket.h>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace wigeonlift {

/// Serves one non-idempotent request. The call runs only under a ticket of this incarnation, and
/// its outcome is recorded whether or not the caller stays.
class TicketedCall {
public:
  TicketedCall(CallerSession &session, const MatchedRequest &match, std::string body);

  /// Returns whether the connection can carry another request.
  boost::asio::awaitable<bool> run();

private:
  boost::asio::awaitable<bool> begin(std::string ticket);
  boost::asio::awaitable<bool> runCall(TicketId id);
  boost::asio::awaitable<bool> relay(std::shared_ptr<ServiceRunner> service,
                                     std::shared_ptr<ProxiedCall> call, RelayDecision decision,
                                     TicketId id);
  void finish(TicketId id, TicketOutcome outcome);
  boost::asio::awaitable<bool> awaitOutcome(TicketId id);
  boost::asio::awaitable<bool> answerOutcome(std::shared_ptr<const TicketOutcome> outcome);
  boost::asio::awaitable<bool> forward(BootId issuer);
  /// Refuses, with a fresh ticket when the caller may try again.
  boost::asio::awaitable<bool> refuse(Failure failure);

  CallerSession &Session;
  DataPath &Path;
  MatchedRequest Match;
  std::string Body;
};

} // namespace wigeonlift
