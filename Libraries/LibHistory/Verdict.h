#pragma once

#include <LibHistory/HistoryEvent.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace wigeonlift {

/// Events that break an invariant together.
struct Violation {
  std::string Reason;
  std::vector<HistoryEvent> Events;
};

/// Judgement of one invariant over a history.
struct Verdict {
  /// Violations that are kept with their events; further ones are only counted.
  static constexpr std::size_t MaxKept = 20;

  std::string Invariant;
  /// Events that were judged. With 0 the history says nothing about the invariant.
  std::uint64_t LookedAt = 0;
  /// Further figures of the check, by name.
  std::vector<std::pair<std::string, std::uint64_t>> Figures;
  std::uint64_t ViolationCount = 0;
  std::vector<Violation> Violations;

  void addViolation(std::string reason, std::vector<HistoryEvent> events);
  bool holds() const { return ViolationCount == 0; }
  /// `holds`, `violated` or, when nothing was judged, `unchecked`.
  const char *outcome() const;
  /// The verdict as one line of JSON, without the line end.
  std::string toLine() const;
};

} // namespace wigeonlift
