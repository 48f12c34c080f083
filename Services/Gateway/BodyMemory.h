#pragma once

#include <cstddef>
#include <utility>

namespace wigeonlift {

/// Bounds the bytes of bodies that the process holds at a time, of requests or of answers, so that
/// callers can't make it exceed its memory. It must outlive its reservations.
class BodyMemory {
public:
  explicit BodyMemory(std::size_t limit) : Limit(limit) {}

  /// A part of the memory that is given back when the reservation ends.
  class Reservation {
  public:
    Reservation() = default;
    Reservation(BodyMemory &memory, std::size_t bytes) : Memory(&memory), Bytes(bytes) {
      Memory->Held += Bytes;
    }
    Reservation(Reservation &&other) noexcept
        : Memory(std::exchange(other.Memory, nullptr)), Bytes(std::exchange(other.Bytes, 0)) {}
    Reservation &operator=(Reservation &&other) noexcept {
      std::swap(Memory, other.Memory);
      std::swap(Bytes, other.Bytes);
      return *this;
    }
    ~Reservation() {
      if (Memory)
        Memory->Held -= Bytes;
    }

    /// Makes the reservation at least so large. False, with nothing changed, when there is no room
    /// for it. One that belongs to no memory has no bound.
    bool ensure(std::size_t bytes) {
      const std::size_t missing = bytes > Bytes ? bytes - Bytes : 0;
      if (!Memory || missing == 0)
        return true;
      if (missing > Memory->room())
        return false;
      Memory->Held += missing;
      Bytes += missing;
      return true;
    }

  private:
    BodyMemory *Memory = nullptr;
    std::size_t Bytes = 0;
  };

  std::size_t room() const { return Held < Limit ? Limit - Held : 0; }
  /// Counts the bytes also beyond the limit; the caller looks for room first.
  Reservation reserve(std::size_t bytes) { return {*this, bytes}; }

private:
  std::size_t Limit;
  std::size_t Held = 0;
};

} // namespace wigeonlift
