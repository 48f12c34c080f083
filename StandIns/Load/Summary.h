#pragma once

#include <StandIns/Load/CallOutcome.h>
#include <StandIns/Load/EffectAudit.h>
#include <StandIns/Load/Latencies.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace wigeonlift {

/// Counts of the calls of one class over one route.
struct ClassSummary {
  std::uint64_t Calls = 0;
  std::uint64_t Tries = 0;
  /// By value of Execution.
  std::array<std::uint64_t, 3> Executed{};
  /// Latencies of calls that have run, without the warm-up.
  Latencies Run;
};

/// What a run of the load tool found.
class Summary {
public:
  void add(const CallOutcome &outcome);
  void setAudit(const EffectAudit &audit);
  /// Probes that the upstreams counted during the run.
  void setProbes(std::uint64_t probes, Duration span);
  void setSeed(std::uint64_t seed) { Seed = seed; }

  /// No answer was wrong or incomplete, and no effect was lost, doubled or denied.
  bool isClean() const;
  /// A table for people.
  std::string table() const;
  /// One JSON object on one line.
  std::string json() const;

private:
  using Route = std::pair<bool, CallClass>;

  std::string auditLine() const;
  std::string spreadLine() const;
  double addressSpread() const;

  std::map<Route, ClassSummary> Classes;
  std::map<std::string, std::uint64_t> Failures;
  /// Calls by the address of their last try.
  std::map<std::string, std::uint64_t> Addresses;
  std::uint64_t Wrong = 0;
  std::uint64_t Incomplete = 0;
  std::uint64_t Seed = 0;
  bool HasAudit = false;
  AuditResult Audit;
  std::uint64_t Probes = 0;
  Duration ProbeSpan{};
};

} // namespace wigeonlift
