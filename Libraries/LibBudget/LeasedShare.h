#pragma once

#include <LibBase/LibBase.h>

#include <optional>
#include <vector>

namespace wigeonlift {

/// A part of the limits of one entry.
struct ShareAmount {
  double CallsPerSecond = 0;
  int InFlight = 0;

  bool isEmpty() const { return CallsPerSecond <= 0 && InFlight <= 0; }
  bool operator==(const ShareAmount &) const = default;
};

/// This VM's share of the fleet-wide limits of one entry, and the loans that raise or lower it. A
/// loan lasts 2 s. The lender counts it for 5% longer and the borrower for 5% less, and the
/// borrower counts from the sending of its request, so that the sum over all VMs stays within the
/// limit while clocks differ in rate by less than 5%. A VM never lends while it borrows.
///
/// A predecessor of this process may have lent parts of the same share, which are still in use. A
/// VM therefore never lends more than half of its share, and the other half is all that a new share
/// uses until such loans have ended.
class LeasedShare {
public:
  /// `since` is when this process first knew of the share.
  explicit LeasedShare(ShareAmount staticShare, TimePoint since = TimePoint::min());

  /// Sets the static share, as after a change of the catalogue. Loans go on.
  void setStaticShare(ShareAmount staticShare) { Own = staticShare; }
  ShareAmount staticShare() const { return Own; }

  /// Lends up to half of what is neither used nor lent, and at most what is wanted.
  ShareAmount lend(ShareAmount wanted, ShareAmount used, TimePoint now);
  /// Adds a loan of a peer, unless it has ended already.
  void didBorrow(ShareAmount amount, TimePoint requestSentAt, TimePoint now);
  /// Whether a loan may be asked for.
  bool mayBorrow(TimePoint now) const;

  /// Difference to the static share; negative while lending. A borrowed loan counts until shortly
  /// before its end.
  ShareAmount adjustment(TimePoint now) const;
  /// Until when the difference may be used without asking again: the end of the first borrowed loan
  /// or of the last lent one. Empty when there are no loans.
  std::optional<TimePoint> validUntil(TimePoint now) const;

private:
  struct Loan {
    ShareAmount Amount;
    TimePoint Until{};
  };
  ShareAmount half() const { return {Own.CallsPerSecond / 2, Own.InFlight / 2}; }
  static ShareAmount sum(const std::vector<Loan> &loans, TimePoint now);
  static bool hasLoan(const std::vector<Loan> &loans, TimePoint now);
  static void removeEnded(std::vector<Loan> &loans, TimePoint now);

  ShareAmount Own;
  /// Loans of a predecessor have ended by then.
  TimePoint HeldBackUntil;
  std::vector<Loan> Lent;
  std::vector<Loan> Borrowed;
};

} // namespace wigeonlift
