#include <Tests/LibFleet/ModelFleet.h>

#include <gtest/gtest.h>

namespace wigeonlift::test {

namespace {

/// Simulates runs in which the store is restored. Returns the mean share of upstreams that VMs go
/// on using until they have written the entries again that the store has lost.
double expectNothingBrought(ModelOptions options, std::uint64_t firstSeed, int runs) {
  options.HasRestores = true;
  double share = 0;
  for (int n = 0; n < runs; ++n) {
    const std::uint64_t seed = firstSeed + seedOffset() + static_cast<std::uint64_t>(n);
    ModelFleet fleet{options, seed};
    const auto violations = fleet.run();
    EXPECT_TRUE(violations.empty()) << "seed " << seed << ", " << violations.size()
                                    << " in all, the first: " << violations.front();
    share += fleet.usableShare() / runs;
  }
  return share;
}

} // namespace

// Guards against VMs that stay in the earlier era or merge changes of both, that use upstreams
// again whose departure the store has lost, and that lose those whose entries it has lost.
TEST(StoreRestores, CalmFleetsFollow) {
  EXPECT_GT(expectNothingBrought({.Vms = 12, .DataCentres = 4, .HasFaults = false}, 110001, 200),
            0.9);
}
// VMs of both eras run beside each other for longer, and some start before all is written again.
TEST(StoreRestores, FleetsWithFaultsFollow) {
  expectNothingBrought({.Vms = 12, .DataCentres = 4}, 111001, 200);
  expectNothingBrought({.Vms = 3, .DataCentres = 2}, 112001, 200);
  expectNothingBrought({.Vms = 12, .DataCentres = 4, .HasLinkFaults = true}, 113001, 200);
}

} // namespace wigeonlift::test
