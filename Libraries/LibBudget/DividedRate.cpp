#include <LibBudget/DividedRate.h>

namespace wigeonlift {

void DividedRate::setTerms(const Terms &terms, const ShareAssignment &assignment, TimePoint now) {
  Agreed = terms;
  setAssignment(assignment, now);
}

void DividedRate::setAssignment(const ShareAssignment &assignment, TimePoint now) {
  HeldShares = assignment.heldShares(Agreed.FleetKey, Agreed.Shares);
  const double rate = Agreed.Shares > 0 ? Agreed.RequestsPerSecond * HeldShares / Agreed.Shares : 0;
  if (Agreed.SavedRequestsPerShare)
    Room.setRate(rate, *Agreed.SavedRequestsPerShare * HeldShares, now);
  else
    Room.setRate(rate, now);
}

} // namespace wigeonlift
