#include <Tests/LibFleet/ModelFleet.h>

#include <gtest/gtest.h>

namespace wigeonlift::test {

namespace {

/// Simulates runs with the seeds from `firstSeed` on and expects each change at each VM in touch in
/// time.
void expectChangesInTime(ModelOptions options, std::uint64_t firstSeed, int runs) {
  for (std::uint64_t seed = firstSeed; seed < firstSeed + static_cast<std::uint64_t>(runs);
       ++seed) {
    const auto violations = ModelFleet{options, seed}.run();
    ASSERT_TRUE(violations.empty()) << "seed " << seed << ", " << violations.size()
                                    << " late, the first: " << violations.front();
  }
}

} // namespace

// Guards against a fleet that loses changes or floods the store without any fault, and against
// a model that finds violations where there are none.
TEST(ChangeDeadline, CalmFleetsKnowChangesInTime) {
  expectChangesInTime({.Vms = 12, .DataCentres = 4, .HasFaults = false}, 50001, 50);
}

// Guards against VMs that go on with an old copy of the store while other VMs fall silent, among
// them those that read the store: callers get answers by an old configuration, and upstreams that
// leave get new requests.
TEST(ChangeDeadline, SmallFleetsKnowChangesInTime) {
  expectChangesInTime({.Vms = 12, .DataCentres = 4}, 1, 700);
}
TEST(ChangeDeadline, UnevenFleetsKnowChangesInTime) {
  expectChangesInTime({.Vms = 16, .DataCentres = 3}, 10001, 500);
}
TEST(ChangeDeadline, FewVmsKnowChangesInTime) {
  expectChangesInTime({.Vms = 3, .DataCentres = 2}, 20001, 1000);
}
TEST(ChangeDeadline, LargeFleetsKnowChangesInTime) {
  expectChangesInTime(
      {.Vms = 109, .DataCentres = 4, .ChangeDeadline = std::chrono::milliseconds{2500}}, 30001, 20);
}
TEST(ChangeDeadline, VeryLargeFleetsKnowChangesInTime) {
  expectChangesInTime({.Vms = 472, .DataCentres = 6, .ChangeDeadline = std::chrono::seconds{3}},
                      40001, 2);
}

} // namespace wigeonlift::test
