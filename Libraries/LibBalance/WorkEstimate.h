#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <unordered_map>

namespace wigeonlift {

/// Learns how long requests of each kind take at an upstream that is neither busy nor slow, and how
/// large their answers are.
class WorkEstimate {
public:
  /// Time of work without slowness. Before the first answer it is derived from the objective.
  Duration work(std::uint32_t kind, Duration objective) const;
  double bytes(std::uint32_t kind) const;
  /// Mean over the kinds seen.
  Duration mean() const;
  /// An answer arrived after `span` from an upstream that was slower than usual by the factor.
  void didAnswer(std::uint32_t kind, Duration span, double slowness, std::size_t bytes);

private:
  struct Kind {
    double Seconds = 0;
    double Bytes = 0;
    int Samples = 0;
  };
  std::unordered_map<std::uint32_t, Kind> Kinds;
};

} // namespace wigeonlift
