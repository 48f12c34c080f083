#pragma once

#include <cstddef>

namespace wigeonlift {

/// Measures how much memory of operator new is in use at most. The program's allocation functions
/// are replaced for that.
class HeapMeter {
public:
  HeapMeter();
  /// The most bytes that were in use at a time since this meter was made, beyond those in use then.
  std::size_t peak() const;

private:
  std::size_t AtStart;
};

} // namespace wigeonlift
