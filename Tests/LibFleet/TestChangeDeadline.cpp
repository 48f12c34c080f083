#include <Tests/LibFleet/ModelFleet.h>

#include <gtest/gtest.h>

namespace wigeonlift::test {

namespace {

/// Simulates runs with the seeds from `firstSeed` on and expects each change at each VM in touch in
/// time.
void expectChangesInTime(ModelOptions options, std::uint64_t firstSeed, int runs) {
  firstSeed += seedOffset();
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
// In these runs VMs freeze for a second and then read messages that arrived before. They took the
// senders' copies for younger than they were, and told other VMs.
TEST(ChangeDeadline, LateMessagesDoNotMakeReplicasYounger) {
  expectChangesInTime({.Vms = 12, .DataCentres = 4}, 1400224, 1);
  expectChangesInTime({.Vms = 12, .DataCentres = 4}, 2900437, 1);
  expectChangesInTime({.Vms = 12, .DataCentres = 4}, 2500356, 1);
  expectChangesInTime({.Vms = 12, .DataCentres = 4}, 3600131, 1);
  expectChangesInTime({.Vms = 16, .DataCentres = 3}, 2310287, 1);
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

// Guards against VMs that wait for, or believe, messages of VMs whose links lose or delay them.
TEST(ChangeDeadline, FleetsWithBadLinksKnowChangesInTime) {
  expectChangesInTime({.Vms = 12, .DataCentres = 4, .HasLinkFaults = true}, 80001, 700);
  expectChangesInTime({.Vms = 16, .DataCentres = 3, .HasLinkFaults = true}, 81001, 500);
  expectChangesInTime({.Vms = 3, .DataCentres = 2, .HasLinkFaults = true}, 83001, 1000);
}

// In these runs VMs knew the clock of another one only from messages that took more than a second.
TEST(ChangeDeadline, SlowMessagesDoNotMakeReplicasYounger) {
  expectChangesInTime({.Vms = 12, .DataCentres = 4, .HasLinkFaults = true}, 380050, 1);
  expectChangesInTime({.Vms = 12, .DataCentres = 4, .HasLinkFaults = true}, 2880017, 1);
}

// Guards against VMs that the store refuses and that no other VM tells of changes.
TEST(ChangeDeadline, RefusedVmsKnowChangesInTime) {
  expectChangesInTime({.Vms = 12, .DataCentres = 4, .HasRefusals = true}, 90001, 500);
  expectChangesInTime({.Vms = 16, .DataCentres = 3, .HasRefusals = true}, 91001, 500);
}

// Guards against VMs that ask the store for themselves although the reader of their data centre
// does so for them, and against readers that ask as often as the lead reader.
TEST(ChangeDeadline, CalmFleetsAskTheStoreRarely) {
  constexpr Duration span = std::chrono::seconds{15};
  constexpr int runs = 6;
  const ModelOptions options{.Vms = 109, .DataCentres = 4, .HasFaults = false, .HasChanges = false};
  int calls = 0;
  for (std::uint64_t seed = 60001; seed < 60001 + runs; ++seed) {
    ModelFleet fleet{options, seed};
    fleet.run();
    calls += fleet.storeCalls(Duration::zero(), span);
  }
  const Duration interval =
      FreshnessLimits::forChangeDeadline(options.ChangeDeadline).ConfirmInterval;
  // The readers that the lead reader tells ask half as often.
  const double readers = 1 + (options.DataCentres - 1) / 2.0;
  // A tenth of the calls may make up for datagrams that are lost.
  EXPECT_LE(calls, 1.1 * runs * readers * toSeconds(span) / toSeconds(interval));
}

// Guards against a large fleet that floods a store while it is down or when it returns.
TEST(ChangeDeadline, AStoreThatReturnsIsNotFlooded) {
  constexpr Duration outage = std::chrono::seconds{9};
  constexpr Duration second = std::chrono::seconds{1};
  const ModelOptions options{
      .Vms = 472, .DataCentres = 6, .HasFaults = false, .HasChanges = false, .StoreOutage = outage};
  ModelFleet fleet{options, 70001};
  fleet.run();
  // Less than one call a VM and second.
  EXPECT_LE(fleet.storeCalls(Duration::zero(), outage), options.Vms * toSeconds(outage));
  EXPECT_LE(fleet.storeCalls(outage, second), options.Vms);
  // The readers go on alone.
  EXPECT_LE(fleet.storeCalls(outage + 3 * second, second), 2 * options.DataCentres);
}

} // namespace wigeonlift::test
