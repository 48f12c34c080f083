#include "RequestLog.h"

#include <fmt/format.h>

namespace wigeonlift {

namespace {

// Upstreams that are slower by more are named when a request is sent to them.
constexpr double UsualSlowness = 1.3;

std::string ms(Duration span) { return fmt::format("{:.1f}", toSeconds(span) * 1e3); }

std::string leftMs(const ProxiedRequest &request, TimePoint now) {
  return ms(request.Spec.Deadline - now);
}

} // namespace

void RequestLog::didSend(const ProxiedRequest &request, std::string_view upstream,
                         const ChoiceInfo &choice) {
  // The first attempt of most requests is told with the answer.
  const bool isPlain = choice.Attempt == 1 && choice.Slowness <= UsualSlowness &&
                       choice.OutstandingRequests < choice.Slots && !choice.RateLimit;
  if (isPlain)
    return;
  Log.write(EventLog::Priority::Routine, choice.IsHedge ? "hedged" : "sent",
            {{"id", request.CallerAttempt},
             {"svc", request.Service},
             {"up", std::string{upstream}},
             {"n", fmt::format("{}", choice.Attempt)},
             {"busy", fmt::format("{}/{}", choice.OutstandingRequests, choice.Slots)},
             {"slow", fmt::format("{:.2f}", choice.Slowness)},
             {"limit", fmt::format("{:.3f}", choice.RateLimit.value_or(0))},
             {"age_ms", ms(choice.ReportAge)},
             {"waited_ms", ms(choice.Waited)}});
}

void RequestLog::didFail(const ProxiedRequest &request, std::string_view upstream,
                         std::string_view what, TimePoint now) {
  Log.write(EventLog::Priority::Important, "attempt_failed",
            {{"id", request.CallerAttempt},
             {"svc", request.Service},
             {"up", std::string{upstream}},
             {"why", std::string{what}},
             {"left_ms", leftMs(request, now)}});
}

void RequestLog::didAnswer(const ProxiedRequest &request, std::string_view upstream, int status,
                           TimePoint now) {
  Log.write(EventLog::Priority::Routine, "answered",
            {{"id", request.CallerAttempt},
             {"route", request.Route},
             {"up", std::string{upstream}},
             {"status", fmt::format("{}", status)},
             {"n", fmt::format("{}", request.Attempts)},
             {"waited_ms", ms(request.LastSentAt - request.Spec.ArrivedAt)},
             {"took_ms", ms(now - request.Spec.ArrivedAt)}});
}

void RequestLog::didReadBodySlowly(const ProxiedRequest &request, std::string_view upstream,
                                   Duration took) {
  Log.write(EventLog::Priority::Important, "body_read_slowly",
            {{"id", request.CallerAttempt},
             {"svc", request.Service},
             {"up", std::string{upstream}},
             {"bytes", fmt::format("{}", request.Body.size())},
             {"took_ms", ms(took)}});
}

void RequestLog::didRefuse(const ProxiedRequest &request, const Failure &failure, int status,
                           TimePoint now) {
  Log.write(EventLog::Priority::Important, "refused",
            {{"id", request.CallerAttempt},
             {"route", request.Route},
             {"svc", request.Service},
             {"why", std::string{toString(failure.Kind)}},
             {"run", std::string{toString(failure.Executed)}},
             {"status", fmt::format("{}", status)},
             {"n", fmt::format("{}", request.Attempts)},
             {"took_ms", ms(now - request.Spec.ArrivedAt)},
             {"left_ms", leftMs(request, now)},
             {"retry_ms", ms(failure.RetryAfter)}});
}

void RequestLog::didLeave(const ProxiedRequest &request, TimePoint now) {
  Log.write(EventLog::Priority::Routine, "caller_left",
            {{"id", request.CallerAttempt},
             {"route", request.Route},
             {"took_ms", ms(now - request.Spec.ArrivedAt)}});
}

void RequestLog::didReject(std::string_view id, std::string_view host, std::string_view target,
                           int status, std::string_view why, std::uint64_t planVersion) {
  constexpr std::size_t maxLoggedBytes = 80;
  Log.write(EventLog::Priority::Important, "rejected",
            {{"id", std::string{id.substr(0, maxLoggedBytes)}},
             {"host", std::string{host.substr(0, maxLoggedBytes)}},
             {"path", std::string{target.substr(0, maxLoggedBytes)}},
             {"status", fmt::format("{}", status)},
             {"why", std::string{why}},
             {"plan", fmt::format("{}", planVersion)}});
}

void RequestLog::didReportRateLimit(std::string_view service, std::string_view upstream,
                                    const RateLimitReport &report) {
  using Content = RateLimitReport::Content;
  const std::string_view event = report.Kind == Content::Limited     ? "limit_named"
                                 : report.Kind == Content::Unlimited ? "limit_ended"
                                                                     : "limit_unreadable";
  Log.write(EventLog::Priority::Important, event,
            {{"svc", std::string{service}},
             {"up", std::string{upstream}},
             {"per_s", fmt::format("{:.3f}", report.RequestsPerSecond)}});
}

void RequestLog::didAskToStayAway(std::string_view service, std::string_view upstream,
                                  Duration duration) {
  Log.write(EventLog::Priority::Important, "upstream_wants_nothing",
            {{"svc", std::string{service}}, {"up", std::string{upstream}}, {"ms", ms(duration)}});
}

void RequestLog::didChangeWarmup(std::string_view service, std::string_view upstream,
                                 Duration remaining, std::string_view source) {
  Log.write(EventLog::Priority::Important,
            remaining > Duration::zero() ? "upstream_cold" : "upstream_warm",
            {{"svc", std::string{service}},
             {"up", std::string{upstream}},
             {"remaining_ms", ms(remaining)},
             {"from", std::string{source}}});
}

void RequestLog::didBecomeShort(std::string_view service, const Shortage &shortage) {
  Log.write(EventLog::Priority::Important, "service_short",
            {{"svc", std::string{service}},
             {"priority", fmt::format("{}", shortage.Priority)},
             {"waiting", fmt::format("{}", shortage.Waiting)},
             {"age_ms", ms(shortage.Age)},
             {"rejected", fmt::format("{}", shortage.Rejections)}});
}

void RequestLog::didRecover(std::string_view service, Duration shortFor) {
  Log.write(EventLog::Priority::Important, "service_recovered",
            {{"svc", std::string{service}}, {"short_ms", ms(shortFor)}});
}

void RequestLog::didAnnounceLeaving(std::string_view service, std::string_view upstream) {
  Log.write(EventLog::Priority::Important, "upstream_leaving",
            {{"svc", std::string{service}}, {"up", std::string{upstream}}});
}

} // namespace wigeonlift
