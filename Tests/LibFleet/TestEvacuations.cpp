#include <Tests/LibFleet/ModelFleet.h>

#include <gtest/gtest.h>

namespace wigeonlift::test {

namespace {

/// Simulates runs and expects that each VM in touch knows in time which data centres are evacuated.
void expectEvacuationsInTime(ModelOptions options, std::uint64_t firstSeed, int runs) {
  options.HasLastingEvacuation = true;
  options.HasEvacuations = true;
  firstSeed += seedOffset();
  for (std::uint64_t seed = firstSeed; seed < firstSeed + static_cast<std::uint64_t>(runs);
       ++seed) {
    const auto violations = ModelFleet{options, seed}.run();
    ASSERT_TRUE(violations.empty()) << "seed " << seed << ", " << violations.size()
                                    << " late, the first: " << violations.front();
  }
}

} // namespace

// Guards against VMs that send requests to a data centre whose evacuation was ordered, or none to
// one whose evacuation has ended, while other VMs lose power, freeze or are cut off.
TEST(Evacuations, AreKnownInTimeBesideFaultsOfVms) {
  expectEvacuationsInTime({.Vms = 12, .DataCentres = 4}, 110001, 300);
  expectEvacuationsInTime({.Vms = 16, .DataCentres = 3}, 111001, 200);
  expectEvacuationsInTime({.Vms = 3, .DataCentres = 2}, 112001, 300);
}
TEST(Evacuations, AreKnownInTimeBesideBadLinksAndRefusals) {
  expectEvacuationsInTime({.Vms = 12, .DataCentres = 4, .HasLinkFaults = true}, 113001, 200);
  expectEvacuationsInTime({.Vms = 16, .DataCentres = 3, .HasRefusals = true}, 114001, 200);
}
// The customer's fleet and bounds.
TEST(Evacuations, AreKnownInTimeInLargeFleets) {
  expectEvacuationsInTime(
      {.Vms = 124, .DataCentres = 3, .ChangeDeadline = std::chrono::milliseconds{2500}}, 115001, 6);
}

// Guards against VMs that forget an order while the store is down, or start without it then.
TEST(Evacuations, OutlastOutagesOfTheStore) {
  for (int n = 0; n < 60; ++n) {
    const ModelOptions options{.Vms = 12,
                               .DataCentres = 3,
                               .HasChanges = false,
                               .StoreOutage = std::chrono::milliseconds{600 + 97 * n},
                               .IsOutageSilent = n % 2 == 0,
                               .HasLastingEvacuation = true};
    const std::uint64_t seed = 116001 + seedOffset() + static_cast<std::uint64_t>(n);
    const auto violations = ModelFleet{options, seed}.run();
    ASSERT_TRUE(violations.empty()) << "seed " << seed << ": " << violations.front();
  }
}

} // namespace wigeonlift::test
