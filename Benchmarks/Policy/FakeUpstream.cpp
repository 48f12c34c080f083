#include "FakeUpstream.h"

#include <cmath>

namespace wigeonlift::bench {

namespace {

using namespace std::chrono_literals;

constexpr Duration FastFailureTime = 200us;
constexpr Duration LeavingTime = 3s;
constexpr Duration FreshReportAge = 5ms;
constexpr Duration LaggingReportAge = 500ms;

} // namespace

FakeUpstream::FakeUpstream(EventQueue &events, const RunOptions &options, std::uint64_t seed)
    : Events(events), Slots(options.User.Slots),
      ReportAge(options.Scenario == ScenarioKind::LaggingReports ? LaggingReportAge
                                                                 : FreshReportAge),
      Rng(seed),
      Service(std::log(toSeconds(MeanService)) - ServiceSigma * ServiceSigma / 2, ServiceSigma) {}

void FakeUpstream::arrive(Request request) {
  if (DrainingSince && Events.now() - *DrainingSince >= LeavingTime)
    ++LateArrivals;
  if (DrainingSince)
    return respondSoon(request, {503, true, false, report()});
  if (FailsFast)
    return respondSoon(request, {500, false, false, report()});
  if (Running.size() < static_cast<std::size_t>(Slots))
    start(std::move(request));
  else
    Queue.push_back(std::move(request));
}

void FakeUpstream::cancel(std::uint64_t key) {
  std::erase_if(Queue, [&](const Request &it) { return it.Key == key; });
  if (Running.erase(key) > 0)
    startNext();
}

LoadReport FakeUpstream::report() {
  if (ReportedAt == TimePoint::min() || Events.now() - ReportedAt >= ReportAge) {
    ReportedAt = Events.now();
    Reported = {static_cast<int>(Running.size()), static_cast<int>(Queue.size()), Slots,
                UpstreamState::Ready};
  }
  LoadReport report = Reported;
  report.State = DrainingSince ? UpstreamState::Draining
                 : IsWarming   ? UpstreamState::Warming
                               : UpstreamState::Ready;
  return report;
}

void FakeUpstream::start(Request request) {
  const std::uint64_t key = request.Key;
  const double seconds = (request.ServiceSeconds > 0 ? request.ServiceSeconds : drawService());
  request.DidStart();
  Running.emplace(key, std::move(request));
  Events.after(fromSeconds(seconds * Slowness), [this, key] { finish(key); });
}

void FakeUpstream::finish(std::uint64_t key) {
  const auto it = Running.find(key);
  if (it == Running.end())
    return;
  const Request request = std::move(it->second);
  Running.erase(it);
  request.Respond({200, false, false, report()});
  startNext();
}

void FakeUpstream::startNext() {
  while (!Queue.empty() && Running.size() < static_cast<std::size_t>(Slots)) {
    Request request = std::move(Queue.front());
    Queue.pop_front();
    if (Events.now() >= request.Deadline)
      request.Respond({503, true, false, report()});
    else
      start(std::move(request));
  }
}

void FakeUpstream::respondSoon(const Request &request, ResponseHead head) {
  Events.after(FastFailureTime, [respond = request.Respond, head] { respond(head); });
}

double FakeUpstream::drawService() { return Service(Rng.engine()); }

} // namespace wigeonlift::bench
