#include <LibBudget/ExtraAttemptBudget.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Limits the burst of extra attempts after a long time without any.
constexpr double MaxCredit = 10;
constexpr double PercentPerAttempt = 100;

} // namespace

void ExtraAttemptBudget::didStartCall() {
  Credit = std::min(MaxCredit, Credit + Percent / PercentPerAttempt);
}

bool ExtraAttemptBudget::hasRoom() const { return Credit >= 1; }

bool ExtraAttemptBudget::take() {
  if (!hasRoom())
    return false;
  Credit -= 1;
  return true;
}

} // namespace wigeonlift
