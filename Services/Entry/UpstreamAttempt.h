#pragma once

#include "ProxiedCall.h"

namespace wigeonlift {

/// One dispatch of a call to one upstream.
struct UpstreamAttempt {
  UpstreamAttempt(const boost::asio::any_io_executor &executor, const StartAttempt &command,
                  std::shared_ptr<ProxiedCall> owner);

  /// Closes the connection, or ends the wait for one. The dispatcher gets no more events.
  void cancel();

  StartAttempt Command;
  std::shared_ptr<ProxiedCall> Owner;
  std::shared_ptr<PoolWait> Wait;
  ConnectionLease Connection;
  /// Head of the response; null until it has arrived.
  const HttpResponseHead *Response = nullptr;
  /// Set while a part of the body is awaited.
  std::optional<TimePoint> ReadingSince;
  bool IsRelayed = false;
  bool IsCancelled = false;
};

} // namespace wigeonlift
