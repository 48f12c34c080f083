#include "Tally.h"

#include <algorithm>
#include <cmath>

namespace wigeonlift::bench {

namespace {

double quantile(const std::vector<double> &sorted, double q) {
  if (sorted.empty())
    return 0;
  const auto n = static_cast<std::size_t>(q * static_cast<double>(sorted.size()));
  return sorted[std::min(n, sorted.size() - 1)];
}

/// Half-open windows that hold more probes than the budget allows.
int overfullWindows(const std::vector<TimePoint> &probes, double perSecond) {
  const auto most = static_cast<std::size_t>(std::floor(perSecond * toSeconds(MeasuringWindow)));
  int overfull = 0;
  for (std::size_t n = most; n < probes.size(); ++n)
    overfull += probes[n] - probes[n - most] < MeasuringWindow ? 1 : 0;
  return overfull;
}

} // namespace

Tally::Tally(const RunOptions &options)
    : Options(options), ProbesOfUpstream(static_cast<std::size_t>(options.User.Upstreams)) {}

std::uint64_t Tally::didArrive(CallClass callClass, TimePoint now) {
  Record &record = Records.emplace_back();
  record.Class = callClass;
  record.ArrivedAt = now;
  return Records.size() - 1;
}

void Tally::didSend(std::uint64_t call) { ++Records[call].Sent; }

void Tally::didSucceed(std::uint64_t call, TimePoint now) {
  Record &record = Records[call];
  ++record.Ends;
  record.EndedAt = now;
  record.IsSuccess = now <= record.ArrivedAt + CallDeadline;
}

void Tally::didFail(std::uint64_t call, Execution told) {
  ++Records[call].Ends;
  Records[call].IsToldNotRun = told == Execution::NotRun;
}

void Tally::didProbe(std::size_t upstream, TimePoint now) {
  Probes.push_back(now);
  ProbesOfUpstream[upstream].push_back(now);
}

RunResult Tally::result() const {
  RunResult result;
  std::vector<double> latencies;
  std::uint64_t sent = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t ended = 0;
  for (const Record &it : Records) {
    result.WrongOutcomes += isWrong(it) ? 1 : 0;
    if (!isMeasured(it))
      continue;
    ++result.Calls;
    sent += static_cast<std::uint64_t>(it.Sent);
    ended += it.Sent > 0 ? 1 : 0;
    succeeded += it.IsSuccess ? 1 : 0;
    if (it.Class == CallClass::Idempotent && it.IsSuccess)
      latencies.push_back(1000 * toSeconds(it.EndedAt - it.ArrivedAt));
  }
  std::ranges::sort(latencies);
  result.P50Ms = quantile(latencies, 0.5);
  result.P99Ms = quantile(latencies, 0.99);
  result.P999Ms = quantile(latencies, 0.999);
  const double possible = static_cast<double>(result.Calls) / std::max(1.0, Options.Load);
  result.Goodput = static_cast<double>(succeeded) / std::max(1.0, possible);
  result.AttemptsPerCall = ended > 0 ? static_cast<double>(sent) / static_cast<double>(ended) : 0;
  result.ProbesPerSecond =
      static_cast<double>(Probes.size()) / toSeconds(ProbingTime + WarmUp + Options.Measured);
  result.BudgetViolations = budgetViolations();
  result.WrongOutcomes += WrongOutcomes;
  return result;
}

bool Tally::isMeasured(const Record &record) const {
  return record.ArrivedAt >= measuringStart(Options) &&
         record.ArrivedAt < FaultStart + Options.Measured;
}

bool Tally::isWrong(const Record &record) const {
  return record.Ends != 1 || (record.IsToldNotRun && record.Runs > 0) ||
         (record.Class == CallClass::NonIdempotent && record.Runs > 1);
}

int Tally::budgetViolations() const {
  int violations = overfullWindows(Probes, Options.User.ProbesPerSecond);
  for (const auto &it : ProbesOfUpstream)
    violations += overfullWindows(it, Options.User.ProbesPerSecondPerUpstream);
  return violations;
}

} // namespace wigeonlift::bench
