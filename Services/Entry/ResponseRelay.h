#pragma once

#include "ServiceRunner.h"

#include <LibTicket/LibTicket.h>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace wigeonlift {

/// How the relaying of a response ended.
enum class RelayEnd : std::uint8_t {
  Complete,
  CallerGone, ///< Writing to the caller failed.
  Broken,     ///< The body broke off after part of the response had been written.
  Failed,     ///< The response broke before anything was written; `failure` tells why.
};

/// Streams an upstream's response to the caller with one bounded buffer. When an export breaks off
/// it continues with the response of another upstream that the dispatcher finds.
class ResponseRelay {
public:
  ResponseRelay(ServiceRunner &service, std::shared_ptr<ProxiedCall> call,
                std::shared_ptr<CallerConnection> caller, bool closesCaller);

  /// Records the response for repeats of the call, and reads on when the caller has gone. Calls
  /// back when the response is complete, before its end is written.
  void record(std::function<void(TicketOutcome)> didRecord) { DidRecord = std::move(didRecord); }
  boost::asio::awaitable<RelayEnd> run(RelayDecision decision);

  const Failure &failure() const { return Reason; }
  Execution executed() const { return Executed; }

private:
  void start(const RelayDecision &decision);
  boost::asio::awaitable<BodyPart> readPart();
  boost::asio::awaitable<bool> writePart(const BodyPart &part);
  boost::asio::awaitable<bool> writeBody(const BodyPart &part);
  boost::asio::awaitable<bool> continueElsewhere();
  void recordHead();
  void recordPart(const BodyPart &part);

  ServiceRunner &Service;
  std::shared_ptr<ProxiedCall> Owner;
  std::shared_ptr<CallerConnection> Caller;
  bool ClosesCaller;
  std::shared_ptr<UpstreamAttempt> From;
  Execution Executed = Execution::Unknown;
  HttpResponseHead Head;
  bool HasHead = false;
  bool IsChunked = false;
  bool IsCallerGone = false;
  std::vector<char> Buffer;
  std::function<void(TicketOutcome)> DidRecord;
  TicketOutcome Outcome;
  Failure Reason;
};

} // namespace wigeonlift
