#pragma once

#include <LibCatalogue/LibCatalogue.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift::bench {

enum class ScenarioKind : std::uint8_t {
  Steady,
  Burst,
  Straggler,
  FastFailure,
  Drain,
  ColdStart,
  LaggingReports,
  NoisyNeighbour,
  CutOff,
};

std::string_view toString(ScenarioKind kind);
std::optional<ScenarioKind> scenarioFromString(std::string_view text);
const std::vector<ScenarioKind> &allScenarios();

/// Figures of one user's largest service, from section 1 of the design.
struct UserModel {
  std::string Name;
  int Upstreams = 0;
  int Slots = 3;
  int Connections = 0;
  /// One-way delay between an entry VM and an upstream.
  Duration OneWay{};
  double ProbesPerSecond = 0;
  double ProbesPerSecondPerUpstream = 0;
};

std::optional<UserModel> userNamed(std::string_view name);

/// One run of the benchmark.
struct RunOptions {
  UserModel User;
  ScenarioKind Scenario = ScenarioKind::Steady;
  /// Offered load as a part of the capacity.
  double Load = 0.85;
  std::uint64_t Seed = 1;
  int EntryVms = 14;
  int MaxEntryVms = 20;
  double RetryPercent = 8;
  double HedgePercent = 5;
  /// Service times are drawn once per call, so that a hedge of the same call takes as long.
  bool DrawsPerCall = false;
  Duration Measured = std::chrono::seconds(10);
};

inline constexpr Duration MeanService = std::chrono::milliseconds(10);
inline constexpr double ServiceSigma = 0.8;
inline constexpr Duration CallDeadline = std::chrono::seconds(2);
inline constexpr Duration MeasuringWindow = std::chrono::seconds(10);
/// After the first probes are permitted, time for evidence of all upstreams to reach all VMs.
inline constexpr Duration ProbingTime = std::chrono::seconds(4);
/// Between the start of the calls and the fault or the start of measuring.
inline constexpr Duration WarmUp = std::chrono::seconds(7);

/// Calls that all upstreams together finish in a second.
double capacity(const RunOptions &options);
/// Offered calls a second at a time after the start of the calls.
double offeredRate(const RunOptions &options, Duration sinceStart);
/// When the measured calls begin to arrive: for faults, 500 ms after the fault.
TimePoint measuringStart(const RunOptions &options);
inline constexpr TimePoint CallsStart = TimePoint{} + MeasuringWindow + ProbingTime;
inline constexpr TimePoint FaultStart = CallsStart + WarmUp;
std::shared_ptr<const Catalogue> makeCatalogue(const RunOptions &options);

} // namespace wigeonlift::bench
