#include <LibBudget/LeasedShare.h>

#include <algorithm>

namespace wigeonlift {

namespace {

constexpr Duration LenderCounts = std::chrono::milliseconds{2100};
constexpr Duration BorrowerCounts = std::chrono::milliseconds{1900};
/// A loan about to end is left out of the difference, so that the rest is known before the end of
/// the first would end all. Covers the interval of 100 ms at which shares are looked at.
constexpr Duration EndMargin = std::chrono::milliseconds{200};
/// Bounds the state of one share.
constexpr std::size_t MaxLoans = 16;

} // namespace

LeasedShare::LeasedShare(ShareAmount staticShare, TimePoint since)
    : Own(staticShare), HeldBackUntil(since + LenderCounts) {}

ShareAmount LeasedShare::sum(const std::vector<Loan> &loans, TimePoint now) {
  ShareAmount total;
  for (const Loan &it : loans) {
    if (it.Until <= now)
      continue;
    total.CallsPerSecond += it.Amount.CallsPerSecond;
    total.InFlight += it.Amount.InFlight;
  }
  return total;
}

bool LeasedShare::hasLoan(const std::vector<Loan> &loans, TimePoint now) {
  return std::ranges::any_of(loans, [now](const Loan &it) { return it.Until > now; });
}

void LeasedShare::removeEnded(std::vector<Loan> &loans, TimePoint now) {
  std::erase_if(loans, [now](const Loan &it) { return it.Until <= now; });
}

ShareAmount LeasedShare::lend(ShareAmount wanted, ShareAmount used, TimePoint now) {
  removeEnded(Lent, now);
  if (now < HeldBackUntil || hasLoan(Borrowed, now) || Lent.size() >= MaxLoans)
    return {};
  const ShareAmount lent = sum(Lent, now);
  const double freeCalls = Own.CallsPerSecond - lent.CallsPerSecond - used.CallsPerSecond;
  const int freeInFlight = Own.InFlight - lent.InFlight - used.InFlight;
  const double mayLendCalls = std::min(freeCalls / 2, half().CallsPerSecond - lent.CallsPerSecond);
  const int mayLendInFlight = std::min(freeInFlight / 2, half().InFlight - lent.InFlight);
  const ShareAmount amount{std::clamp(wanted.CallsPerSecond, 0.0, std::max(0.0, mayLendCalls)),
                           std::clamp(wanted.InFlight, 0, std::max(0, mayLendInFlight))};
  if (!amount.isEmpty())
    Lent.push_back({amount, now + LenderCounts});
  return amount;
}

void LeasedShare::didBorrow(ShareAmount amount, TimePoint requestSentAt, TimePoint now) {
  removeEnded(Borrowed, now);
  const TimePoint until = requestSentAt + BorrowerCounts;
  if (until > now && Borrowed.size() < MaxLoans && !amount.isEmpty())
    Borrowed.push_back({amount, until});
}

bool LeasedShare::mayBorrow(TimePoint now) const { return !hasLoan(Lent, now); }

ShareAmount LeasedShare::adjustment(TimePoint now) const {
  const ShareAmount lent = sum(Lent, now);
  const ShareAmount borrowed = sum(Borrowed, now + EndMargin);
  const ShareAmount held = now < HeldBackUntil ? half() : ShareAmount{};
  return {borrowed.CallsPerSecond - lent.CallsPerSecond - held.CallsPerSecond,
          borrowed.InFlight - lent.InFlight - held.InFlight};
}

std::optional<TimePoint> LeasedShare::validUntil(TimePoint now) const {
  std::optional<TimePoint> until;
  for (const Loan &it : Borrowed)
    if (it.Until > now + EndMargin)
      until = until ? std::min(*until, it.Until) : it.Until;
  // A lender keeps to its reduced share until the last loan has ended.
  for (const Loan &it : Lent)
    if (it.Until > now)
      until = until ? std::max(*until, it.Until) : it.Until;
  if (now < HeldBackUntil)
    until = std::max(until.value_or(HeldBackUntil), HeldBackUntil);
  return until;
}

} // namespace wigeonlift
