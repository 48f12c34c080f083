#include <LibBudget/LeasedShare.h>

#include <gtest/gtest.h>

#include <numeric>

using namespace wigeonlift;
using namespace std::chrono_literals;

namespace {

constexpr ShareAmount Own{100, 10};

/// A VM whose clock runs faster or slower than true time by up to 4.9%.
struct Vm {
  LeasedShare Share{Own};
  double Rate = 1;
  Duration Offset{};

  TimePoint at(Duration truth) const {
    return TimePoint{Offset + fromSeconds(toSeconds(truth) * Rate)};
  }
  double usable(Duration truth) const {
    return Own.CallsPerSecond + Share.adjustment(at(truth)).CallsPerSecond;
  }
};

struct Grant {
  std::size_t Borrower = 0;
  ShareAmount Amount;
  Duration RequestedAt{};
  Duration ArrivesAt{};
};

} // namespace

// Guards against loans by which all VMs together use more than the limit, however late requests and
// grants arrive and however the clocks differ.
TEST(LeasedShare, SumStaysWithinTheLimit) {
  constexpr std::uint64_t seed = 21;
  Random random{seed};
  std::vector<Vm> vms(6);
  for (Vm &it : vms) {
    it.Rate = 0.952 + random.unit() * 0.096;
    it.Offset = std::chrono::seconds{random.below(1000)};
  }
  std::vector<Grant> grants;
  double most = 0;
  for (Duration truth{}; truth < 300s; truth += 10ms) {
    const std::size_t lender = random.below(vms.size());
    const std::size_t borrower = random.below(vms.size());
    if (random.below(5) == 0 && lender != borrower &&
        vms[borrower].Share.mayBorrow(vms[borrower].at(truth))) {
      const Duration requestDelay = std::chrono::milliseconds{random.below(1000)};
      const Duration requestedAt = truth - std::min(truth, requestDelay);
      const ShareAmount amount =
          vms[lender].Share.lend({50, 5}, {random.unit() * 60, 2}, vms[lender].at(truth));
      grants.push_back(
          {borrower, amount, requestedAt, truth + std::chrono::milliseconds{random.below(2500)}});
    }
    std::erase_if(grants, [&](const Grant &it) {
      if (it.ArrivesAt > truth)
        return false;
      Vm &vm = vms[it.Borrower];
      if (vm.Share.mayBorrow(vm.at(truth)))
        vm.Share.didBorrow(it.Amount, vm.at(it.RequestedAt), vm.at(truth));
      return true;
    });
    double sum = 0;
    for (const Vm &it : vms) {
      EXPECT_GE(it.usable(truth), 0) << "seed " << seed;
      sum += it.usable(truth);
      most = std::max(most, it.usable(truth));
    }
    ASSERT_LE(sum, 6 * Own.CallsPerSecond + 1e-6) << "seed " << seed << " at " << toSeconds(truth);
  }
  // Loans did raise a share.
  EXPECT_GT(most, Own.CallsPerSecond * 1.2);
}

// Guards against a lender that goes back to its full share while one of its loans still runs, and
// against a borrower that keeps a loan for too long.
TEST(LeasedShare, ValidityFollowsTheLoans) {
  const TimePoint now{10s};
  LeasedShare lender{Own};
  lender.lend({10, 1}, {}, now);
  lender.lend({10, 1}, {}, now + 500ms);
  EXPECT_EQ(lender.validUntil(now + 600ms), now + 2600ms);
  EXPECT_EQ(lender.adjustment(now + 600ms), (ShareAmount{-20, -2}));
  EXPECT_EQ(lender.adjustment(now + 2600ms), (ShareAmount{}));
  LeasedShare borrower{Own};
  borrower.didBorrow({10, 1}, now, now + 100ms);
  borrower.didBorrow({10, 1}, now + 500ms, now + 600ms);
  EXPECT_EQ(borrower.validUntil(now + 600ms), now + 1900ms);
  EXPECT_FALSE(borrower.validUntil(now + 2400ms));
}

// Guards against a share that is lent twice: by a VM that has itself borrowed, or beyond what is
// free.
TEST(LeasedShare, LendsOnlyWhatIsFree) {
  const TimePoint now{10s};
  LeasedShare share{Own};
  EXPECT_EQ(share.lend({500, 50}, {40, 10}, now), (ShareAmount{30, 0}));
  EXPECT_FALSE(share.mayBorrow(now));
  LeasedShare borrower{Own};
  borrower.didBorrow({5, 0}, now, now);
  EXPECT_TRUE(borrower.lend({5, 0}, {}, now).isEmpty());
  // A grant that comes after the end of its loan is worth nothing.
  borrower.didBorrow({5, 0}, now - 3s, now);
  EXPECT_EQ(borrower.adjustment(now).CallsPerSecond, 5);
}
