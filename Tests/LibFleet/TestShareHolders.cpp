#include <LibFleet/LibFleet.h>

#include <gtest/gtest.h>

using namespace wigeonlift;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};
constexpr int Shares = 1000;
const std::vector<VmAddress> Seeds{2, 3};

FleetVm vm(VmAddress ip, std::uint32_t dataCentreWeight = 0, std::string dataCentre = "a") {
  return {.Ip = ip,
          .DataCentre = std::move(dataCentre),
          .Weight = 100,
          .DataCentreWeight = dataCentreWeight};
}

/// What one VM knows of three others.
struct OneVm {
  OneVm() {
    for (; Now < Start + 10s; Now += 500ms)
      hearAll();
  }

  void hearAll() {
    Holders.didReceive(Now);
    for (const VmAddress it : {2U, 3U, 4U})
      Holders.didHear(vm(it), Now, Now);
  }
  int held(SharedThing thing = SharedThing::RatesOfAllVms) {
    Holders.expire(vm(1), Now);
    return Holders.assignment(vm(1), thing, Now).heldShares(7, Shares);
  }

  TimePoint Now = Start;
  ShareHolders Holders{1, Seeds, Start};
};

} // namespace

// Guards against a partitioned VM that takes over the shares of the others, also when it hears one
// of them again after a long time.
TEST(ShareHolders, IsolatedVmsKeepTheirSharesAndGainNone) {
  OneVm it;
  const int before = it.held();
  EXPECT_NEAR(before, Shares / 4, Shares / 10);
  it.Now += 300s;
  EXPECT_EQ(it.held(), before);
  it.Holders.didReceive(it.Now);
  it.Holders.didHear(vm(2), it.Now, it.Now);
  EXPECT_EQ(it.held(), before);
}

// Guards against shares that move to the others while their holder may still use them, and against
// shares of a lost VM that are never used again.
TEST(ShareHolders, SilentVmsKeepTheirSharesForAMinute) {
  OneVm it;
  const int before = it.held();
  const auto hearTwo = [&](Duration span) {
    for (const TimePoint end = it.Now + span; it.Now < end; it.Now += 500ms) {
      it.Holders.didReceive(it.Now);
      it.Holders.didHear(vm(2), it.Now, it.Now);
      it.Holders.didHear(vm(3), it.Now, it.Now);
    }
  };
  hearTwo(58s);
  EXPECT_EQ(it.held(), before);
  hearTwo(4s);
  EXPECT_GT(it.held(), before);
}

// Guards against VMs that use shares of others because they don't know the fleet yet: after a
// start, before the first message, and when only the first message came through.
TEST(ShareHolders, StartedVmsHoldNothingUntilTheyKnowTheOthers) {
  OneVm started;
  started.Holders = ShareHolders{1, Seeds, started.Now};
  started.Now += 60s;
  EXPECT_EQ(started.held(), 0) << "no VM was heard of";
  started.hearAll();
  started.Now += 30s;
  EXPECT_EQ(started.held(), 0) << "isolated after the first message";
  for (int n = 0; n < 6; ++n, started.Now += 500ms) {
    started.hearAll();
    EXPECT_EQ(started.held(), 0);
  }
  started.hearAll();
  EXPECT_GT(started.held(), 0);
}

// Guards against a VM that knows only some VMs of its data centre and takes the shares of the rest.
TEST(ShareHolders, StandInsHoldTheSharesOfUnknownVms) {
  OneVm it;
  it.Holders.didHear(vm(2, 4000), it.Now, it.Now);
  EXPECT_NEAR(it.held(), Shares / 40, Shares / 40);
  EXPECT_GT(it.held(), 0);
}

// Guards against shares of a silent data centre that move to the others while it may be running
// behind a partition, and against shares of VMs that have ended for which others wait forever.
TEST(ShareHolders, SilentDataCentresKeepTheirShares) {
  OneVm it;
  FleetVm remote = vm(5, 0, "b");
  FleetVm stopped = vm(6, 0, "c");
  stopped.IsStopping = true;
  it.Holders.didHear(remote, it.Now, it.Now);
  it.Holders.didHear(stopped, it.Now, it.Now);
  const int before = it.held();
  for (const TimePoint end = it.Now + 600s; it.Now < end; it.Now += 500ms)
    it.hearAll();
  EXPECT_GT(it.held(), before);
  EXPECT_NEAR(it.held(), Shares / 5, Shares / 10);
}

// Guards against parts of seeds that nobody has heard of being used, and against a VM that keeps
// waiting for seeds that another VM has heard of.
TEST(ShareHolders, UnknownSeedsStandForUnknownVms) {
  OneVm it;
  it.Holders = ShareHolders{1, std::vector<VmAddress>{2, 8, 9}, it.Now};
  for (int n = 0; n < 10; ++n, it.Now += 500ms)
    it.hearAll();
  EXPECT_NEAR(it.held(), Shares / 12, Shares / 20);
  it.Holders.didHearOfSeeds(std::vector<VmAddress>{8, 9, 77}, it.Now);
  EXPECT_NEAR(it.held(), Shares / 12, Shares / 20) << "their VMs aren't known yet";
  for (int n = 0; n < 20; ++n, it.Now += 500ms)
    it.hearAll();
  EXPECT_NEAR(it.held(), Shares / 4, Shares / 10);
}

// Guards against limits whose shares are of no use for a minute after the loss of a VM.
TEST(ShareHolders, SharesOfNamedLimitsMoveAfterTenSeconds) {
  OneVm it;
  const int before = it.held(SharedThing::NamedLimits);
  for (const TimePoint end = it.Now + 12s; it.Now < end; it.Now += 500ms) {
    it.Holders.didReceive(it.Now);
    it.Holders.didHear(vm(2), it.Now, it.Now);
    it.Holders.didHear(vm(3), it.Now, it.Now);
  }
  EXPECT_GT(it.held(SharedThing::NamedLimits), before);
  EXPECT_EQ(it.held(), before);
}

// Guards against a VM that was frozen for long, finds messages that waited, and takes the shares of
// those whose messages it reads last.
TEST(ShareHolders, MessagesThatWaitedDoNotEndShares) {
  OneVm it;
  const int before = it.held();
  const TimePoint frozenAt = it.Now;
  it.Now += 90s;
  it.Holders.didReceive(it.Now);
  for (const VmAddress waiting : {2U, 3U, 4U})
    it.Holders.didHear(vm(waiting), frozenAt, it.Now);
  it.Holders.didHear(vm(2), it.Now, it.Now);
  it.Holders.didHear(vm(3), it.Now, it.Now);
  EXPECT_EQ(it.held(), before);
  EXPECT_EQ(it.held(SharedThing::NamedLimits), before);
}
