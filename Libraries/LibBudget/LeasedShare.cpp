#include <LibBudget/LeasedShare.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// A loan of 2 s, lengthened by 5% at the lender and shortened by 5% at the borrower.
constexpr Duration LenderLoanDuration = std::chrono::milliseconds{2100};
constexpr Duration BorrowerLoanDuration = std::chrono::milliseconds{1900};
/// An adjustment expires with its first borrowed loan. A borrowed loan is left out of the
/// adjustment this long before it expires, so that the adjustment by the other loans is published
/// in time. Covers the interval of 100 ms at which shares are checked.
constexpr Duration LoanExpiryMargin = std::chrono::milliseconds{200};
/// Maximum number of lent loans, and of borrowed loans. Limits the memory that one share uses.
constexpr std::size_t MaxLoans = 16;

} // namespace

LeasedShare::LeasedShare(ShareAmount staticShare, TimePoint knownSince)
    : StaticShare(staticShare), HalfWithheldUntil(knownSince + LenderLoanDuration) {}

ShareAmount LeasedShare::sumOfActive(const std::vector<Loan> &loans, TimePoint now) {
  ShareAmount total;
  for (const Loan &it : loans) {
    if (it.ExpiresAt <= now)
      continue;
    total.CallsPerSecond += it.Amount.CallsPerSecond;
    total.InFlight += it.Amount.InFlight;
  }
  return total;
}

bool LeasedShare::hasActiveLoan(const std::vector<Loan> &loans, TimePoint now) {
  return std::ranges::any_of(loans, [now](const Loan &it) { return it.ExpiresAt > now; });
}

void LeasedShare::removeExpired(std::vector<Loan> &loans, TimePoint now) {
  std::erase_if(loans, [now](const Loan &it) { return it.ExpiresAt <= now; });
}

ShareAmount LeasedShare::lend(ShareAmount wanted, ShareAmount used, TimePoint now) {
  removeExpired(Lent, now);
  if (now < HalfWithheldUntil || hasActiveLoan(Borrowed, now) || Lent.size() >= MaxLoans)
    return {};
  const ShareAmount lent = sumOfActive(Lent, now);
  const double freeCallsPerSecond =
      StaticShare.CallsPerSecond - lent.CallsPerSecond - used.CallsPerSecond;
  const int freeInFlight = StaticShare.InFlight - lent.InFlight - used.InFlight;
  const double lendableCallsPerSecond =
      std::min(freeCallsPerSecond / 2, halfOfStaticShare().CallsPerSecond - lent.CallsPerSecond);
  const int lendableInFlight =
      std::min(freeInFlight / 2, halfOfStaticShare().InFlight - lent.InFlight);
  const ShareAmount amount{
      std::clamp(wanted.CallsPerSecond, 0.0, std::max(0.0, lendableCallsPerSecond)),
      std::clamp(wanted.InFlight, 0, std::max(0, lendableInFlight))};
  if (!amount.isEmpty())
    Lent.push_back({amount, now + LenderLoanDuration});
  return amount;
}

void LeasedShare::didBorrow(ShareAmount amount, TimePoint requestSentAt, TimePoint now) {
  removeExpired(Borrowed, now);
  const TimePoint expiresAt = requestSentAt + BorrowerLoanDuration;
  if (expiresAt > now && Borrowed.size() < MaxLoans && !amount.isEmpty())
    Borrowed.push_back({amount, expiresAt});
}

bool LeasedShare::mayBorrow(TimePoint now) const { return !hasActiveLoan(Lent, now); }

ShareAmount LeasedShare::adjustment(TimePoint now) const {
  const ShareAmount lent = sumOfActive(Lent, now);
  const ShareAmount borrowed = sumOfActive(Borrowed, now + LoanExpiryMargin);
  const ShareAmount withheld = now < HalfWithheldUntil ? halfOfStaticShare() : ShareAmount{};
  return {borrowed.CallsPerSecond - lent.CallsPerSecond - withheld.CallsPerSecond,
          borrowed.InFlight - lent.InFlight - withheld.InFlight};
}

std::optional<TimePoint> LeasedShare::validUntil(TimePoint now) const {
  std::optional<TimePoint> until;
  for (const Loan &it : Borrowed)
    if (it.ExpiresAt > now + LoanExpiryMargin)
      until = until ? std::min(*until, it.ExpiresAt) : it.ExpiresAt;
  // A lender keeps its reduced share until its last lent loan has expired.
  for (const Loan &it : Lent)
    if (it.ExpiresAt > now)
      until = until ? std::max(*until, it.ExpiresAt) : it.ExpiresAt;
  if (now < HalfWithheldUntil)
    until = std::max(until.value_or(HalfWithheldUntil), HalfWithheldUntil);
  return until;
}

} // namespace wigeonlift
