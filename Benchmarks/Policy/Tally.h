#pragma once

#include "Scenario.h"

#include <LibDispatch/LibDispatch.h>

#include <cstdint>
#include <string>
#include <vector>

namespace wigeonlift::bench {

/// Outcome of one run, in the fields of section 11.1.
struct RunResult {
  std::uint64_t Calls = 0;
  double P50Ms = 0;
  double P99Ms = 0;
  double P999Ms = 0;
  double Goodput = 0;
  double AttemptsPerCall = 0;
  double ProbesPerSecond = 0;
  int BudgetViolations = 0;
  int WrongOutcomes = 0;
};

/// What happened to the calls and probes of one run, as the fakes saw it. Judges the outcomes.
class Tally {
public:
  explicit Tally(const RunOptions &options);

  /// Adds a call and returns its number.
  std::uint64_t didArrive(CallClass callClass, TimePoint now);
  void didSend(std::uint64_t call);
  void didRun(std::uint64_t call) { ++Records[call].Runs; }
  void didSucceed(std::uint64_t call, TimePoint now);
  void didFail(std::uint64_t call, Execution told);
  void didProbe(std::size_t upstream, TimePoint now);
  void didBreakRule() { ++WrongOutcomes; }

  RunResult result() const;

private:
  struct Record {
    TimePoint ArrivedAt{};
    TimePoint EndedAt{};
    CallClass Class{};
    int Runs = 0;
    int Ends = 0;
    int Sent = 0;
    bool IsSuccess = false;
    bool IsToldNotRun = false;
  };

  bool isMeasured(const Record &record) const;
  bool isWrong(const Record &record) const;
  int budgetViolations() const;

  const RunOptions &Options;
  std::vector<Record> Records;
  std::vector<TimePoint> Probes;
  std::vector<std::vector<TimePoint>> ProbesOfUpstream;
  int WrongOutcomes = 0;
};

} // namespace wigeonlift::bench
