#pragma once

#include "ProxiedRequest.h"

#include <LibTelemetry/LibTelemetry.h>

namespace wigeonlift {

/// Log lines about decisions that touch a request. Each names the caller's id of the request.
class RequestLog {
public:
  explicit RequestLog(EventLog &log) : Log(log) {}

  void didSend(const ProxiedRequest &request, std::string_view upstream, const ChoiceInfo &choice);
  void didFail(const ProxiedRequest &request, std::string_view upstream, std::string_view what,
               TimePoint now);
  void didAnswer(const ProxiedRequest &request, std::string_view upstream, int status,
                 TimePoint now);
  /// An upstream took that long to read the request's body.
  void didReadBodySlowly(const ProxiedRequest &request, std::string_view upstream, Duration took);
  void didRefuse(const ProxiedRequest &request, const Failure &failure, int status, TimePoint now);
  void didLeave(const ProxiedRequest &request, TimePoint now);
  /// A request that is not passed on: no route or limit admits it, or this VM can't take it now.
  void didReject(std::string_view id, std::string_view host, std::string_view target, int status,
                 std::string_view why, std::uint64_t planVersion);

  /// An upstream has changed the rate limit that it names, or names one that can't be read.
  void didReportRateLimit(std::string_view service, std::string_view upstream,
                          const RateLimitReport &report);
  /// An upstream wants nothing from this VM for so long.
  void didAskToStayAway(std::string_view service, std::string_view upstream, Duration duration);
  /// An upstream has become cold for so long, or warm if `remaining` is zero.
  void didChangeWarmup(std::string_view service, std::string_view upstream, Duration remaining,
                       std::string_view source);
  /// An upstream has said in a response that it is leaving.
  void didAnnounceLeaving(std::string_view service, std::string_view upstream);
  /// Requests of a service lack room at this VM.
  void didBecomeShort(std::string_view service, const Shortage &shortage);
  /// No request of the service has lacked room for a while.
  void didRecover(std::string_view service, Duration shortFor);

private:
  EventLog &Log;
};

} // namespace wigeonlift
