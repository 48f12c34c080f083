#include "Runs.h"

#include <LibBase/LibBase.h>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <string>

DEFINE_string(users, "obiyama,kapokki", "Users, separated by commas.");
DEFINE_string(scenarios, "steady", "Scenarios, separated by commas, or all.");
DEFINE_string(loads, "50,70,85,95,150", "Offered loads in percent of the capacity.");
DEFINE_string(policies, "all", "Policies, separated by commas, or all.");
DEFINE_string(seeds, "1,2,3,4,5", "Seeds, separated by commas.");
DEFINE_bool(per_call, false, "Draw service times once per call instead of once per attempt.");
DEFINE_double(probes_per_second, -1, "Measuring budget of the fleet; negative: the user's own.");
DEFINE_double(hedge_percent, 5, "Hedges in percent of the calls.");
DEFINE_int32(seconds, 10, "Measured seconds of virtual time.");

namespace wigeonlift::bench {

namespace {

std::vector<std::string> listed(const std::string &text) {
  std::vector<std::string> parts;
  for (const std::string_view it : split(text, ','))
    parts.emplace_back(it);
  return parts;
}

bool isListed(const std::vector<std::string> &names, std::string_view name) {
  return names.front() == "all" || std::ranges::find(names, name) != names.end();
}

void print(const RunOptions &options, std::string_view policy, const RunResult &result) {
  fmt::print("{{\"user\":\"{}\",\"scenario\":\"{}\",\"load\":{:.0f},\"policy\":\"{}\","
             "\"seed\":{},\"draws\":\"{}\",\"calls\":{},\"p50_ms\":{:.3f},\"p99_ms\":{:.3f},"
             "\"p999_ms\":{:.3f},\"goodput\":{:.4f},\"attempts_per_call\":{:.4f},"
             "\"probes_per_s\":{:.2f},\"probe_budget_per_s\":{:.2f},\"budget_violations\":{},"
             "\"wrong_outcomes\":{}}}\n",
             options.User.Name, toString(options.Scenario), 100 * options.Load, policy,
             options.Seed, options.DrawsPerCall ? "call" : "attempt", result.Calls, result.P50Ms,
             result.P99Ms, result.P999Ms, result.Goodput, result.AttemptsPerCall,
             result.ProbesPerSecond, options.User.ProbesPerSecond, result.BudgetViolations,
             result.WrongOutcomes);
  std::fflush(stdout);
}

void runPolicies(const RunOptions &options) {
  const auto policies = listed(FLAGS_policies);
  for (const PolicyRun &it : allPolicies())
    if (isListed(policies, it.Name))
      print(options, it.Name, it.Run(options));
}

void runSeeds(RunOptions options) {
  for (const std::string &seed : listed(FLAGS_seeds)) {
    options.Seed = parseNumber<std::uint64_t>(seed).value_or(1);
    runPolicies(options);
  }
}

void runScenarios(RunOptions options) {
  const auto scenarios = listed(FLAGS_scenarios);
  for (const ScenarioKind kind : allScenarios()) {
    if (!isListed(scenarios, toString(kind)))
      continue;
    options.Scenario = kind;
    for (const std::string &load : listed(FLAGS_loads)) {
      options.Load = parseNumber<int>(load).value_or(0) / 100.0;
      runSeeds(options);
    }
  }
}

} // namespace

int runAll() {
  RunOptions options;
  options.DrawsPerCall = FLAGS_per_call;
  options.HedgePercent = FLAGS_hedge_percent;
  options.Measured = std::chrono::seconds(FLAGS_seconds);
  for (const std::string &name : listed(FLAGS_users)) {
    const auto user = userNamed(name);
    if (!user) {
      fmt::print(stderr, "unknown user {}\n", name);
      return 2;
    }
    options.User = *user;
    if (FLAGS_probes_per_second >= 0)
      options.User.ProbesPerSecond = FLAGS_probes_per_second;
    runScenarios(options);
  }
  return 0;
}

} // namespace wigeonlift::bench

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return wigeonlift::bench::runAll();
}
