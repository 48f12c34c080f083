#pragma once

namespace wigeonlift {

/// Budget of extra attempts as a percentage of the calls. It starts empty, so the extra attempts
/// never exceed the percentage, over any time since the start.
class ExtraAttemptBudget {
public:
  void setPercent(double percent) { Percent = percent; }
  /// Counts a call that was sent for the first time.
  void didStartCall();
  bool hasRoom() const;
  /// Takes one extra attempt; false when the budget is used up.
  bool take();

private:
  double Percent = 0;
  double Saved = 0;
};

} // namespace wigeonlift
