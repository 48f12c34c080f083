#pragma once

#include <LibBase/Time.h>

#include <string>

namespace wigeonlift {

/// A lack of room for the requests of a service at one VM.
struct Shortage {
  /// The most urgent priority whose requests lack room; 0 is the most urgent.
  int Priority = 0;
  /// Waiting requests of that priority.
  int Waiting = 0;
  /// Time that the oldest of them has waited.
  Duration Age{};
  /// Requests of that priority that were rejected for lack of room in the last second.
  int Rejections = 0;

  bool operator==(const Shortage &) const = default;
};

struct ServiceShortage {
  std::string Service;
  Shortage Lack;

  bool operator==(const ServiceShortage &) const = default;
};

} // namespace wigeonlift
