#pragma once

#include <LibBase/Time.h>

#include <cstdint>

namespace wigeonlift {

/// Counts the reads of the configuration service by second. A waiting watch is one read.
class ReadMeter {
public:
  void didRead(TimePoint now);

  std::uint64_t total() const { return Total; }
  /// Reads in the last complete second.
  std::uint64_t lastSecond(TimePoint now);
  /// The most reads in any complete second.
  std::uint64_t busiestSecond(TimePoint now);

private:
  void roll(TimePoint now);

  std::uint64_t Total = 0;
  std::uint64_t Current = 0;
  std::uint64_t Last = 0;
  std::uint64_t Busiest = 0;
  std::int64_t Second = 0;
};

} // namespace wigeonlift
