#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wigeonlift {

/// A value of the configuration service and the index at which it was written.
struct IndexedValue {
  std::uint64_t Index = 0;
  std::string Text;
};

/// All values that were written under one key, and which of them readers see.
class ValueHistory {
public:
  /// Adds a value unless it equals the newest one. Readers see it unless reads are stale.
  void write(std::string text);
  /// Readers keep seeing the present value while newer ones are written.
  void setStale(bool isStale);
  /// Readers see the last catalogue with that version from now on, as after a restore of an old
  /// replica, until the next write or `setStale(false)`. False when there is none.
  bool goBackTo(std::uint64_t version);

  /// What readers see; index 0 and empty text before the first write.
  const IndexedValue &served() const;
  bool isStale() const { return IsStale; }

private:
  std::vector<IndexedValue> Values;
  std::size_t Served = 0;
  bool IsStale = false;
};

} // namespace wigeonlift
