#include <LibBudget/LeasedShare.h>

#include <gtest/gtest.h>

#include <numeric>

using namespace wigeonlift;
using namespace std::chrono_literals;

namespace {

constexpr ShareAmount StaticShare{100, 10};

/// A VM whose clock runs faster or slower than true time by up to 4.8%.
struct Vm {
  LeasedShare Share{StaticShare};
  double ClockRate = 1;
  Duration ClockOffset{};

  TimePoint clockAt(Duration trueTime) const {
    return TimePoint{ClockOffset + fromSeconds(toSeconds(trueTime) * ClockRate)};
  }
  double usableCallsPerSecond(Duration trueTime) const {
    return StaticShare.CallsPerSecond + Share.adjustment(clockAt(trueTime)).CallsPerSecond;
  }
};

struct Grant {
  std::size_t Borrower = 0;
  ShareAmount Amount;
  Duration RequestedAt{};
  Duration ArrivesAt{};
};

} // namespace

// Guards against loans that let all VMs together exceed the limit, with delayed requests and grants
// and with clocks of different rates and offsets.
TEST(LeasedShare, SumStaysWithinTheLimit) {
  constexpr std::uint64_t seed = 21;
  Random random{seed};
  std::vector<Vm> vms(6);
  for (Vm &it : vms) {
    it.ClockRate = 0.952 + random.unit() * 0.096;
    it.ClockOffset = std::chrono::seconds{random.below(1000)};
  }
  std::vector<Grant> grants;
  double largestShare = 0;
  for (Duration trueTime{}; trueTime < 300s; trueTime += 10ms) {
    const std::size_t lender = random.below(vms.size());
    const std::size_t borrower = random.below(vms.size());
    if (random.below(5) == 0 && lender != borrower &&
        vms[borrower].Share.mayBorrow(vms[borrower].clockAt(trueTime))) {
      const Duration requestDelay = std::chrono::milliseconds{random.below(1000)};
      const Duration requestedAt = trueTime - std::min(trueTime, requestDelay);
      const ShareAmount amount =
          vms[lender].Share.lend({50, 5}, {random.unit() * 60, 2}, vms[lender].clockAt(trueTime));
      grants.push_back({borrower, amount, requestedAt,
                        trueTime + std::chrono::milliseconds{random.below(2500)}});
    }
    std::erase_if(grants, [&](const Grant &it) {
      if (it.ArrivesAt > trueTime)
        return false;
      Vm &vm = vms[it.Borrower];
      if (vm.Share.mayBorrow(vm.clockAt(trueTime)))
        vm.Share.didBorrow(it.Amount, vm.clockAt(it.RequestedAt), vm.clockAt(trueTime));
      return true;
    });
    double sum = 0;
    for (const Vm &it : vms) {
      EXPECT_GE(it.usableCallsPerSecond(trueTime), 0) << "seed " << seed;
      sum += it.usableCallsPerSecond(trueTime);
      largestShare = std::max(largestShare, it.usableCallsPerSecond(trueTime));
    }
    ASSERT_LE(sum, 6 * StaticShare.CallsPerSecond + 1e-6)
        << "seed " << seed << " at " << toSeconds(trueTime);
  }
  // At least one share was raised by loans.
  EXPECT_GT(largestShare, StaticShare.CallsPerSecond * 1.2);
}

// Guards against a lender that returns to its full share while one of its loans is still active,
// and against a borrower that uses a loan after its expiry.
TEST(LeasedShare, ValidityEndsWithTheLoans) {
  const TimePoint now{10s};
  LeasedShare lender{StaticShare};
  lender.lend({10, 1}, {}, now);
  lender.lend({10, 1}, {}, now + 500ms);
  EXPECT_EQ(lender.validUntil(now + 600ms), now + 2600ms);
  EXPECT_EQ(lender.adjustment(now + 600ms), (ShareAmount{-20, -2}));
  EXPECT_EQ(lender.adjustment(now + 2600ms), (ShareAmount{}));
  LeasedShare borrower{StaticShare};
  borrower.didBorrow({10, 1}, now, now + 100ms);
  borrower.didBorrow({10, 1}, now + 500ms, now + 600ms);
  EXPECT_EQ(borrower.validUntil(now + 600ms), now + 1900ms);
  EXPECT_FALSE(borrower.validUntil(now + 2400ms));
}

// Guards against lending the same share twice: by a VM that has itself borrowed, or by lending more
// than the unused part.
TEST(LeasedShare, LendsOnlyWhatIsFree) {
  const TimePoint now{10s};
  LeasedShare share{StaticShare};
  EXPECT_EQ(share.lend({500, 50}, {40, 10}, now), (ShareAmount{30, 0}));
  EXPECT_FALSE(share.mayBorrow(now));
  LeasedShare borrower{StaticShare};
  borrower.didBorrow({5, 0}, now, now);
  EXPECT_TRUE(borrower.lend({5, 0}, {}, now).isEmpty());
  // A grant that arrives after its loan has expired adds nothing.
  borrower.didBorrow({5, 0}, now - 3s, now);
  EXPECT_EQ(borrower.adjustment(now).CallsPerSecond, 5);
}
