#include "Scenario.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wigeonlift::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::array<std::pair<ScenarioKind, std::string_view>, 9> Names{{
    {ScenarioKind::Steady, "steady"},
    {ScenarioKind::Burst, "burst"},
    {ScenarioKind::Straggler, "straggler"},
    {ScenarioKind::FastFailure, "fast-failure"},
    {ScenarioKind::Drain, "drain"},
    {ScenarioKind::ColdStart, "cold-start"},
    {ScenarioKind::LaggingReports, "lagging-reports"},
    {ScenarioKind::NoisyNeighbour, "noisy-neighbour"},
    {ScenarioKind::CutOff, "cut-off"},
}};

// A burst takes a fifth of each second; the mean rate equals the load.
constexpr Duration BurstPeriod = 1s;
constexpr Duration BurstLength = 200ms;
constexpr double BurstFactor = 1.8;
constexpr double LullFactor = 0.8;

// The fleet starts without permissions and learns of its upstreams while the load rises.
constexpr Duration RampLength = 5s;
constexpr double FirstPart = 0.1;

constexpr Duration FaultGrace = 500ms;

} // namespace

std::string_view toString(ScenarioKind kind) {
  return Names[static_cast<std::size_t>(kind)].second;
}

std::optional<ScenarioKind> scenarioFromString(std::string_view text) {
  for (const auto &[kind, name] : Names)
    if (name == text)
      return kind;
  return std::nullopt;
}

const std::vector<ScenarioKind> &allScenarios() {
  static const std::vector<ScenarioKind> all = [] {
    std::vector<ScenarioKind> kinds;
    kinds.reserve(Names.size());
    for (const auto &[kind, name] : Names)
      kinds.push_back(kind);
    return kinds;
  }();
  return all;
}

std::optional<UserModel> userNamed(std::string_view name) {
  if (name == "obiyama")
    return UserModel{"obiyama", 14, 3, 220, 1ms, 28, 2};
  if (name == "kapokki")
    return UserModel{"kapokki", 18, 3, 240, 500us, 14, 2};
  return std::nullopt;
}

double capacity(const RunOptions &options) {
  return options.User.Upstreams * options.User.Slots / toSeconds(MeanService);
}

double offeredRate(const RunOptions &options, Duration sinceStart) {
  const double mean = options.Load * capacity(options);
  if (sinceStart < RampLength)
    return mean * std::max(FirstPart, toSeconds(sinceStart) / toSeconds(RampLength));
  if (options.Scenario != ScenarioKind::Burst)
    return mean;
  return mean * (sinceStart % BurstPeriod < BurstLength ? BurstFactor : LullFactor);
}

TimePoint measuringStart(const RunOptions &options) {
  const bool hasFault =
      options.Scenario == ScenarioKind::Straggler || options.Scenario == ScenarioKind::FastFailure;
  return hasFault ? FaultStart + FaultGrace : FaultStart;
}

std::shared_ptr<const Catalogue> makeCatalogue(const RunOptions &options) {
  auto catalogue = std::make_shared<Catalogue>();
  const UserModel &user = options.User;
  catalogue->Fleet = {options.MaxEntryVms, 2500ms};
  catalogue->Services = {
      {"service",
       user.Slots,
       user.Connections,
       1,
       options.RetryPercent,
       options.HedgePercent,
       {user.ProbesPerSecond, user.ProbesPerSecondPerUpstream, MeasuringWindow}}};
  // The limits leave room for the overload, which the queues must handle.
  const EntryLimits limits{4 * capacity(options), 4 * user.Connections, 4000 * options.MaxEntryVms,
                           CallDeadline};
  catalogue->Entries = {{"lookup", "owner", 0, "/l", CallClass::Idempotent, limits},
                        {"order", "owner", 0, "/o", CallClass::NonIdempotent, limits}};
  return catalogue;
}

} // namespace wigeonlift::bench
