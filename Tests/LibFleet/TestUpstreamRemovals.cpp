#include <Tests/LibFleet/ModelFleet.h>

#include <gtest/gtest.h>

namespace wigeonlift::test {

namespace {

constexpr Duration ms(int n) { return std::chrono::milliseconds{n}; }

struct Outages {
  int Vms = 12;
  int DataCentres = 4;
  int Runs = 0;
  std::uint64_t FirstSeed = 0;
  Duration DrainTimeout = ms(2000);
  /// Whether VMs lose power, freeze and are cut off as well.
  bool HasFaults = false;
  bool HasLinkFaults = false;
  Duration StoreSettleTime = ms(3000);
};

/// Simulates outages of the store of different lengths, refusing and silent ones, and expects that
/// no VM uses an upstream that has left past the drain timeout. Returns the mean share of upstreams
/// with expired leases that VMs go on using until they have registered again.
double expectRemovalsInTime(const Outages &outages) {
  double share = 0;
  for (int n = 0; n < outages.Runs; ++n) {
    const std::uint64_t seed = outages.FirstSeed + seedOffset() + static_cast<std::uint64_t>(n);
    const ModelOptions options{.Vms = outages.Vms,
                               .DataCentres = outages.DataCentres,
                               .ChangeDeadline = outages.DrainTimeout,
                               .HasFaults = outages.HasFaults,
                               .HasLinkFaults = outages.HasLinkFaults,
                               .HasChanges = false,
                               .StoreOutage = ms(600 + 97 * (n % 60)),
                               .IsOutageSilent = n % 2 == 0,
                               .HasUpstreams = true,
                               .DrainTimeout = outages.DrainTimeout,
                               .StoreSettleTime = outages.StoreSettleTime};
    ModelFleet fleet{options, seed};
    const auto violations = fleet.run();
    EXPECT_TRUE(violations.empty())
        << "seed " << seed << ", outage " << toMilliseconds(options.StoreOutage) << " ms, "
        << violations.size() << " late, the first: " << violations.front();
    share += fleet.usableShare() / outages.Runs;
  }
  return share;
}

} // namespace

// Guards against new requests to upstreams that leave shortly before an outage of the store, or
// right when the drain timeout holds again after it: their removals are taken for expired leases.
// Guards as well against the loss of upstreams whose leases have really expired.
TEST(UpstreamRemovals, EndInTimeAroundAnOutageOfTheStore) {
  const double small = expectRemovalsInTime({.Runs = 240, .FirstSeed = 1});
  const double grown = expectRemovalsInTime(
      {.Vms = 109, .DataCentres = 4, .Runs = 12, .FirstSeed = 1001, .DrainTimeout = ms(2500)});
  // An upstream that has registered again must not have been out of use for most of the time.
  EXPECT_GT(small, 0.5);
  EXPECT_GT(grown, 0.5);
}
TEST(UpstreamRemovals, EndInTimeBesideFaultsOfVms) {
  expectRemovalsInTime({.Runs = 240, .FirstSeed = 2001, .HasFaults = true});
}
TEST(UpstreamRemovals, EndInTimeBesideBadLinks) {
  expectRemovalsInTime({.Runs = 240, .FirstSeed = 3001, .HasFaults = true, .HasLinkFaults = true});
}
TEST(UpstreamRemovals, EndInTimeWithOtherBounds) {
  expectRemovalsInTime({.Runs = 120, .FirstSeed = 4001, .StoreSettleTime = ms(2000)});
  expectRemovalsInTime({.Runs = 120, .FirstSeed = 5001, .StoreSettleTime = ms(5000)});
  expectRemovalsInTime({.Runs = 120, .FirstSeed = 6001, .DrainTimeout = ms(3500)});
}

} // namespace wigeonlift::test
