#include <StandIns/Load/Summary.h>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <vector>

namespace wigeonlift {

namespace {

double milliseconds(Duration span) { return toSeconds(span) * 1000; }

std::string nameOf(bool isDirect, CallClass callClass) {
  return fmt::format("{}{}", isDirect ? "direct " : "", toString(callClass));
}

} // namespace

void Summary::add(const CallOutcome &outcome) {
  ClassSummary &summary = Classes[{outcome.IsDirect, outcome.Class}];
  ++summary.Calls;
  summary.Tries += static_cast<std::uint64_t>(outcome.Tries);
  ++summary.Executed[static_cast<std::size_t>(outcome.Executed)];
  if (outcome.Executed == Execution::Run && !outcome.IsWarmUp)
    summary.Run.record(outcome.Latency);
  if (!outcome.Failure.empty())
    ++Failures[outcome.Failure];
  if (!outcome.IsDirect)
    ++Addresses[outcome.Address];
  Wrong += outcome.IsWrong ? 1 : 0;
  Incomplete += outcome.IsIncomplete ? 1 : 0;
}

void Summary::setAudit(const EffectAudit &audit) {
  HasAudit = true;
  Audit = audit.result();
}

void Summary::setProbes(std::uint64_t probes, Duration span) {
  Probes = probes;
  ProbeSpan = span;
}

bool Summary::isClean() const {
  return Wrong == 0 && Incomplete == 0 && (!HasAudit || Audit.isClean());
}

std::string Summary::table() const {
  std::string text =
      fmt::format("{:<22}{:>8}{:>8}{:>8}{:>9}{:>9}{:>9}{:>9}{:>10}\n", "class", "calls", "run",
                  "not-run", "unknown", "tries", "p50 ms", "p99 ms", "p99.9 ms");
  for (const auto &[route, summary] : Classes)
    text += fmt::format(
        "{:<22}{:>8}{:>8}{:>8}{:>9}{:>9}{:>9.2f}{:>9.2f}{:>10.2f}\n",
        nameOf(route.first, route.second), summary.Calls, summary.Executed[0], summary.Executed[1],
        summary.Executed[2], summary.Tries, milliseconds(summary.Run.quantile(0.5)),
        milliseconds(summary.Run.quantile(0.99)), milliseconds(summary.Run.quantile(0.999)));
  for (const auto &[failure, count] : Failures)
    text += fmt::format("failure {}: {}\n", failure, count);
  text += fmt::format("wrong answers: {}, incomplete: {}\n", Wrong, Incomplete);
  return text + auditLine() + spreadLine() + fmt::format("seed: {}\n", Seed);
}

std::string Summary::auditLine() const {
  if (!HasAudit)
    return "effects: no records of the upstreams were given\n";
  return fmt::format("effects: {}, lost {}, doubled {}; answered not-run but run: {}\n",
                     Audit.Effects, Audit.Lost, Audit.Doubled, Audit.FalseNotRun);
}

std::string Summary::spreadLine() const {
  std::string text;
  if (ProbeSpan > Duration::zero())
    text = fmt::format("probes: {}, {:.1f} a second\n", Probes,
                       static_cast<double>(Probes) / toSeconds(ProbeSpan));
  for (const auto &[address, count] : Addresses)
    text += fmt::format("calls at {}: {}\n", address, count);
  return text + fmt::format("entry VMs, calls max over mean: {:.2f}\n", addressSpread());
}

double Summary::addressSpread() const {
  std::uint64_t sum = 0;
  std::uint64_t largest = 0;
  for (const auto &[address, count] : Addresses) {
    sum += count;
    largest = std::max(largest, count);
  }
  if (sum == 0)
    return 0;
  return static_cast<double>(largest) * static_cast<double>(Addresses.size()) /
         static_cast<double>(sum);
}

std::string Summary::json() const {
  std::vector<std::string> classes;
  for (const auto &[route, summary] : Classes)
    classes.push_back(fmt::format(
        R"({{"route":"{}","class":"{}","calls":{},"run":{},"not_run":{},"unknown":{},"tries":{},)"
        R"("p50_ms":{:.3f},"p99_ms":{:.3f},"p999_ms":{:.3f}}})",
        route.first ? "direct" : "entry", toString(route.second), summary.Calls,
        summary.Executed[0], summary.Executed[1], summary.Executed[2], summary.Tries,
        milliseconds(summary.Run.quantile(0.5)), milliseconds(summary.Run.quantile(0.99)),
        milliseconds(summary.Run.quantile(0.999))));
  return fmt::format(
      R"({{"seed":{},"classes":[{}],"wrong":{},"incomplete":{},"audited":{},"effects":{},"lost":{},"doubled":{},)"
      R"("false_not_run":{},"probes":{},"probes_per_s":{:.2f},"entry_spread":{:.3f}}})",
      Seed, fmt::join(classes, ","), Wrong, Incomplete, HasAudit, Audit.Effects, Audit.Lost,
      Audit.Doubled, Audit.FalseNotRun, Probes,
      ProbeSpan > Duration::zero() ? static_cast<double>(Probes) / toSeconds(ProbeSpan) : 0.0,
      addressSpread());
}

} // namespace wigeonlift
