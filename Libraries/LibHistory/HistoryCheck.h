#pragma once

#include <LibHistory/History.h>
#include <LibHistory/MeasuringBudgetCheck.h>
#include <LibHistory/Verdict.h>

#include <vector>

namespace wigeonlift {

/// Limits that the invariants are judged by.
struct CheckLimits {
  MeasuringBudgetCheck::Budgets Budgets;
  /// I5: how long a leaving upstream may still get new work.
  Duration Leaving = std::chrono::seconds{3};
  /// I7: how long a catalogue may take to be in effect everywhere.
  Duration Catalogue = std::chrono::seconds{5};
};

/// Judges I1 to I7, in this order.
std::vector<Verdict> checkHistory(const History &history, const CheckLimits &limits);

} // namespace wigeonlift
