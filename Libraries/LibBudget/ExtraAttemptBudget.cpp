#include <LibBudget/ExtraAttemptBudget.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Bounds the burst of extra attempts after a long time without any.
constexpr double MaxSaved = 10;
constexpr double PercentPerAttempt = 100;

} // namespace

void ExtraAttemptBudget::didStartCall() {
  Saved = std::min(MaxSaved, Saved + Percent / PercentPerAttempt);
}

bool ExtraAttemptBudget::hasRoom() const { return Saved >= 1; }

bool ExtraAttemptBudget::take() {
  if (!hasRoom())
    return false;
  Saved -= 1;
  return true;
}

} // namespace wigeonlift
