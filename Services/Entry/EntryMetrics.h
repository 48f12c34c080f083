#pragma once

#include <LibBase/LibBase.h>
#include <LibTelemetry/LibTelemetry.h>

#include <array>
#include <cstdint>
#include <map>

namespace wigeonlift {

/// Counts of one entry daemon since its start.
class EntryMetrics {
public:
  /// A call was answered with an upstream's response.
  void didRelay(CallClass callClass, Execution executed, Duration span);
  /// A call was refused or failed.
  void didFail(const Failure &failure);

  void writeTo(MetricsText &text) const;

  std::uint64_t Attempts = 0;
  std::uint64_t Probes = 0;
  std::uint64_t Resumes = 0;
  std::uint64_t BrokenAnswers = 0;
  std::uint64_t CallersLeft = 0;
  std::uint64_t TicketsForwarded = 0;
  std::uint64_t Pauses = 0;

private:
  static constexpr std::size_t ClassCount = 3;

  std::array<LatencyHistogram, ClassCount> Spans;
  std::map<Execution, std::uint64_t> Relayed;
  std::map<std::pair<FailureKind, Execution>, std::uint64_t> Failed;
};

} // namespace wigeonlift
