#pragma once

namespace wigeonlift {

/// Limits extra attempts to a percentage of the calls. The budget starts empty, so the extra
/// attempts since the start never exceed the percentage of the calls since the start.
class ExtraAttemptBudget {
public:
  void setPercent(double percent) { Percent = percent; }
  /// Adds the credit of a call whose first attempt is sent.
  void didStartCall();
  bool hasRoom() const;
  /// Spends the credit of one extra attempt. Returns false if there is too little credit.
  bool take();

private:
  double Percent = 0;
  double Credit = 0;
};

} // namespace wigeonlift
