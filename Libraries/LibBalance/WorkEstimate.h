#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <unordered_map>

namespace wigeonlift {

/// Estimates, from past responses, how long requests of each kind take at an upstream that is
/// neither busy nor slow, and how large their responses are. Uses successful responses only.
class WorkEstimate {
public:
  /// Time that an upstream at its usual speed takes. Before the first response, the estimate is a
  /// fraction of the route's latency objective.
  Duration workTime(std::uint32_t kind, Duration targetLatency) const;
  double responseBytes(std::uint32_t kind) const;
  /// Mean over all kinds, weighted by their numbers of responses.
  Duration mean() const;
  /// Adds a response that arrived after `elapsed` from an upstream that was slower than usual by
  /// the factor `slowness`.
  void addSample(std::uint32_t kind, Duration elapsed, double slowness, std::size_t responseBytes);

private:
  struct KindEstimate {
    double Seconds = 0;
    double Bytes = 0;
    int Samples = 0;
  };
  std::unordered_map<std::uint32_t, KindEstimate> Kinds;
};

} // namespace wigeonlift
