#pragma once

#include <StandIns/Load/CallOutcome.h>

#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace wigeonlift {

/// What the upstreams' records say about the answers that callers got.
struct AuditResult {
  std::uint64_t Effects = 0;
  /// Calls answered as run that have no effect.
  std::uint64_t Lost = 0;
  /// Calls with more than one effect.
  std::uint64_t Doubled = 0;
  /// Requests answered as not run that an upstream ran.
  std::uint64_t FalseNotRun = 0;

  bool isClean() const { return Lost == 0 && Doubled == 0 && FalseNotRun == 0; }
};

/// Compares the answers of callers with the histories of the upstreams.
class EffectAudit {
public:
  /// Fails when the file can't be read or a line is no event.
  absl::Status readHistory(const std::string &path);
  bool hasHistory() const { return HasHistory; }
  void check(const CallOutcome &outcome);
  const AuditResult &result() const { return Result; }

private:
  void checkEffects(const CallOutcome &outcome);

  /// Effects by request id.
  std::map<std::string, std::uint64_t> Effects;
  /// Requests that an upstream started to run.
  std::set<std::string> Started;
  AuditResult Result;
  bool HasHistory = false;
};

} // namespace wigeonlift
