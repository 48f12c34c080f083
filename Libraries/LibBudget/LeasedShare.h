#pragma once

#include <LibBase/LibBase.h>

#include <optional>
#include <vector>

namespace wigeonlift {

/// An amount of the rate limit and of the concurrency limit of one catalogue entry (`EntrySpec`).
struct ShareAmount {
  double CallsPerSecond = 0;
  int InFlight = 0;

  bool isEmpty() const { return CallsPerSecond <= 0 && InFlight <= 0; }
  bool operator==(const ShareAmount &) const = default;
};

/// This VM's share of the fleet-wide limits of one catalogue entry, and the loans that raise or
/// lower it. A loan lasts 2 s. The lender counts the loan as lent for 5% longer. The borrower
/// counts the loan for 5% less, starting when it sent its request. The sum over all VMs therefore
/// stays within the limit while the rate of each clock is within 5% of true time. A VM never lends
/// while it borrows.
///
/// An earlier process on this VM may have lent parts of the same share that peers still use. A VM
/// therefore never lends more than half of its share, and a new share uses only the other half
/// until such loans have expired.
class LeasedShare {
public:
  /// `knownSince` is when this process first learned of the share. Half of the share is withheld
  /// for the duration of a loan from then on.
  explicit LeasedShare(ShareAmount staticShare, TimePoint knownSince = TimePoint::min());

  /// Sets the share without loans, for example after a change of the catalogue. Active loans stay
  /// in force.
  void setStaticShare(ShareAmount staticShare) { StaticShare = staticShare; }
  ShareAmount staticShare() const { return StaticShare; }

  /// Lends at most `wanted`, and at most half of the amount that is neither used nor lent. All
  /// active loans together are at most half of the static share. Lends nothing while this VM
  /// borrows or while half of a new share is withheld. Returns the amount lent.
  ShareAmount lend(ShareAmount wanted, ShareAmount used, TimePoint now);
  /// Records a loan from a peer, unless the loan has already expired or too many loans are
  /// recorded.
  void didBorrow(ShareAmount amount, TimePoint requestSentAt, TimePoint now);
  /// Whether this VM may request a loan; false while it lends.
  bool mayBorrow(TimePoint now) const;

  /// Amount to add to the static share; negative while this VM lends or half of a new share is
  /// withheld. A borrowed loan counts until shortly before it expires.
  ShareAmount adjustment(TimePoint now) const;
  /// Time until which the current adjustment may be used: the expiry of the first borrowed loan
  /// that counts or of the last lent loan, or, if later, the time until which half of a new share
  /// is withheld. Empty when the static share applies unchanged.
  std::optional<TimePoint> validUntil(TimePoint now) const;

private:
  struct Loan {
    ShareAmount Amount;
    TimePoint ExpiresAt{};
  };
  ShareAmount halfOfStaticShare() const {
    return {StaticShare.CallsPerSecond / 2, StaticShare.InFlight / 2};
  }
  static ShareAmount sumOfActive(const std::vector<Loan> &loans, TimePoint now);
  static bool hasActiveLoan(const std::vector<Loan> &loans, TimePoint now);
  static void removeExpired(std::vector<Loan> &loans, TimePoint now);

  ShareAmount StaticShare;
  /// Half of the static share is withheld until this time, when all loans of an earlier process
  /// have expired.
  TimePoint HalfWithheldUntil;
  std::vector<Loan> Lent;
  std::vector<Loan> Borrowed;
};

} // namespace wigeonlift
