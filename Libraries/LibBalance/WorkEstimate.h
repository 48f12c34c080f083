#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

namespace wigeonlift {

class WorkDistribution;

/// Estimates, from past responses, how long requests of each kind take at an upstream that is
/// neither busy nor slow, and how large their responses are. The means use successful responses
/// only. The distribution of the work times also uses attempts that were aborted.
class WorkEstimate {
public:
  WorkEstimate();
  ~WorkEstimate();

  /// Time that an upstream at its usual speed takes. Before the first response, the estimate is a
  /// fraction of the route's latency objective.
  Duration workTime(std::uint32_t kind, Duration targetLatency) const;
  double responseBytes(std::uint32_t kind) const;
  /// Mean over all kinds, weighted by their numbers of responses.
  Duration mean() const;
  /// Adds a response that arrived after `elapsed` from an upstream that was slower than usual by
  /// the factor `slowness`.
  void addSample(std::uint32_t kind, Duration elapsed, double slowness, std::size_t responseBytes);

  /// Adds the work of an attempt, as time at the usual speed, to the distribution. The attempt
  /// started when the upstream was slower than usual by the factor `slowness`. One that was aborted
  /// would have taken longer.
  void addFinished(std::uint32_t kind, Duration work, double slowness);
  void addAborted(std::uint32_t kind, Duration work, double slowness);

  /// Expected remaining work of an attempt that has done the work `elapsed`, both as times at the
  /// usual speed. Empty while there are too few samples, or if none took that long.
  std::optional<Duration> meanResidual(std::uint32_t kind, Duration elapsed) const;
  /// The earliest elapsed work from which the mean residual is above `residual`, if there is any.
  std::optional<Duration> firstWithResidual(std::uint32_t kind, Duration residual) const;

private:
  struct KindEstimate {
    double Seconds = 0;
    double Bytes = 0;
    int Samples = 0;
    /// Null until the first sample, as a VM may know many kinds and get requests of few.
    std::unique_ptr<WorkDistribution> Distribution;
  };
  static WorkDistribution &distribution(KindEstimate &estimate);
  const WorkDistribution *findDistribution(std::uint32_t kind) const;

  std::unordered_map<std::uint32_t, KindEstimate> Kinds;
};

} // namespace wigeonlift
