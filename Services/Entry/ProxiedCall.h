#pragma once

#include "ExportProgress.h"

#include <LibDispatch/DispatchTypes.h>
#include <LibHttp/LibHttp.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace wigeonlift {

struct UpstreamAttempt;

/// The dispatcher has chosen the response to relay.
struct RelayDecision {
  std::shared_ptr<UpstreamAttempt> From;
  Execution Executed = Execution::Run;
};

/// What the dispatcher decided about a call.
using CallDecision = std::variant<RelayDecision, Failure>;

/// A caller's request from its admission to the end of its answer.
class ProxiedCall {
public:
  ProxiedCall(const boost::asio::any_io_executor &executor, const CallSpec &spec,
              HttpRequestHead head, std::string body);

  /// Waits for the next decision of the dispatcher.
  boost::asio::awaitable<CallDecision> nextDecision();
  void post(CallDecision decision);
  bool isHeadRequest() const;

  CallSpec Spec;
  /// What the upstream gets, without the fields that differ between attempts.
  HttpRequestHead Head;
  std::string Body;
  /// The rest of a request body that is too large to be kept. It can be sent once.
  std::shared_ptr<CallerConnection> BodySource;
  /// An attempt has begun to send the body.
  bool IsBodyTaken = false;
  /// Set while an export can be resumed.
  std::optional<ExportProgress> Progress;
  std::string RequestId;

private:
  boost::asio::steady_timer Wakeup;
  std::deque<CallDecision> Decisions;
};

} // namespace wigeonlift
