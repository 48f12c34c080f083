#include <LibFleet/LibFleet.h>

#include <gtest/gtest.h>

#include <set>

namespace wigeonlift {

namespace {

constexpr TimePoint Start{std::chrono::seconds{100}};
constexpr Duration ms(int n) { return std::chrono::milliseconds{n}; }

/// A VM of data centre "a" that has just started, and knows VMs which are ahead of it.
class PeerReadsOfAStartingVm : public testing::Test {
protected:
  void add(VmAddress vm, const char *dataCentre, StoreRevision revision = 7) {
    FleetMessage message{.Sender = {.Ip = vm, .DataCentre = dataCentre, .Incarnation = 1}};
    message.Sender.Revision = revision;
    Members.didReceive(message, Start);
  }
  std::optional<VmAddress> next(Duration after) { return Reads.next(Members, 0, Start + after); }

  FleetMembership Members{{.Ip = 1, .DataCentre = "a", .Incarnation = 1}, {}, 1, Start};
  PeerReads Reads;
};

} // namespace

// Guards against reads that cross data centres although a VM nearby has the changes.
TEST_F(PeerReadsOfAStartingVm, VmsOfTheSameDataCentreComeFirst) {
  add(2, "b");
  add(3, "a");
  add(4, "a", 0);
  EXPECT_TRUE(Members.isBehind(Start));
  EXPECT_EQ(next(ms(0)), 3U);
}

// Guards against a VM that reads again and again from VMs that have fallen silent, while another
// data centre has the changes. Callers had no configuration for seconds.
TEST_F(PeerReadsOfAStartingVm, SilentVmsDoNotHoldUpTheOthers) {
  add(2, "b");
  add(3, "a");
  add(4, "a");
  std::set<VmAddress> asked;
  for (int n = 0; n < 3; ++n)
    asked.insert(next(PeerReads::Interval * n).value_or(0));
  EXPECT_EQ(asked, (std::set<VmAddress>{2, 3, 4}));
}

// Guards against a VM from which a read has just failed that is asked instead of another one.
TEST_F(PeerReadsOfAStartingVm, FailedVmsAreAskedAgainOnlyIfThereIsNoOther) {
  add(2, "b");
  add(3, "a");
  ASSERT_EQ(next(ms(0)), 3U);
  Reads.didEnd(3, false, Start);
  ASSERT_EQ(next(ms(300)), 2U);
  Reads.didEnd(2, false, Start + ms(300));
  ASSERT_EQ(next(ms(600)), 3U);
  Reads.didEnd(3, true, Start + ms(600));
}

// Guards against a VM that reads from everybody at once.
TEST_F(PeerReadsOfAStartingVm, FewReadsAreInProgress) {
  for (VmAddress vm = 2; vm < 12; ++vm)
    add(vm, "a");
  int reads = 0;
  for (int n = 0; n < 10; ++n)
    reads += next(ms(100 * n)) ? 1 : 0;
  EXPECT_LE(reads, 3);
}

} // namespace wigeonlift
