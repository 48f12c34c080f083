#pragma once

#include <cstdint>
#include <random>

namespace wigeonlift {

/// Seeded generator, so that a run can be repeated. Not for keys.
class Random {
public:
  explicit Random(std::uint64_t seed) : Engine(seed) {}

  /// Uniform integer in [0, bound). The bound must be positive.
  std::uint64_t below(std::uint64_t bound) { return Engine() % bound; }
  /// Uniform number in [0, 1).
  double unit() { return static_cast<double>(Engine() >> 11) * 0x1.0p-53; }
  /// The engine, for distributions of the standard library.
  std::mt19937_64 &engine() { return Engine; }

private:
  std::mt19937_64 Engine;
};

} // namespace wigeonlift
