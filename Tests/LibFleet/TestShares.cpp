#include <Tests/LibFleet/GossipNetwork.h>

#include <functional>
#include <string>

namespace wigeonlift {

namespace {

using namespace std::chrono_literals;

/// Time in which VMs that reach each other share everything out.
constexpr Duration SettleTime = 20s;
constexpr double Tolerance = 0.01;
/// Which shares parts of the fleet hold that don't know each other is random: four standard
/// deviations of two parts together.
constexpr double SharesTolerance = 0.06;
constexpr int ShareCount = 2000;

struct Fleet {
  int Vms = 0;
  int DataCentres = 0;
  int Seeds = 0;
};

GossipNetwork fleetOf(const Fleet &it) {
  GossipNetwork net{0, it.DataCentres};
  net.Seeds.clear();
  for (int n = 1; n <= it.Seeds; ++n)
    net.Seeds.push_back(ip(n));
  for (int n = 1; n <= it.Vms; ++n)
    net.add(n, n % it.DataCentres);
  return net;
}

double sumOfRepeatShares(const GossipNetwork &net) {
  double sum = 0;
  for (const auto &[address, vm] : net.Vms)
    sum += vm->repeatShare(net.Now);
  return sum;
}

/// Of one rate that is divided, how often the shares are held by all VMs together.
double sumOfHeldShares(const GossipNetwork &net, SharedThing thing) {
  int sum = 0;
  for (const auto &[address, vm] : net.Vms)
    sum += vm->shareAssignment(thing, net.Now).heldShares(7, ShareCount);
  return static_cast<double>(sum) / ShareCount;
}

void expectAtMostOnce(const GossipNetwork &net, const std::string &when) {
  EXPECT_LE(sumOfRepeatShares(net), 1 + Tolerance) << when;
  EXPECT_LE(sumOfHeldShares(net, SharedThing::RatesOfAllVms), 1 + SharesTolerance) << when;
  EXPECT_LE(sumOfHeldShares(net, SharedThing::NamedLimits), 1 + SharesTolerance) << when;
}

void expectInUse(const GossipNetwork &net, const std::string &when) {
  expectAtMostOnce(net, when);
  EXPECT_GE(sumOfRepeatShares(net), 0.9) << when;
  EXPECT_GE(sumOfHeldShares(net, SharedThing::RatesOfAllVms), 0.9) << when;
  EXPECT_GE(sumOfHeldShares(net, SharedThing::NamedLimits), 0.9) << when;
}

class Shares : public testing::TestWithParam<Fleet> {
protected:
  /// Divides a settled fleet, where `partOf` names the part of each VM, and joins it again.
  void cutAndJoin(Duration length, const std::function<int(int)> &partOf) {
    GossipNetwork net = fleetOf(GetParam());
    net.run(SettleTime);
    for (int n = 1; n <= GetParam().Vms; ++n)
      net.Parts[ip(n)] = partOf(n);
    runAndCheck(net, length, "cut off");
    net.Parts.clear();
    runAndCheck(net, SettleTime, "joined");
    expectInUse(net, "after all");
  }
  /// Runs and checks on the way.
  void runAndCheck(GossipNetwork &net, Duration duration, const std::string &what) {
    const Duration step = duration > 30s ? 10s : 1s;
    for (const TimePoint begin = net.Now; net.Now < begin + duration; net.run(step)) {
      const std::string when = what + " " + std::to_string(toSeconds(net.Now - begin)) + " s";
      expectAtMostOnce(net, when);
    }
  }
};

} // namespace

// Guards against VMs that return after a loss of power while their seeds stay off, and that each
// take all rate limits and the whole allowance of repeats because they have heard of nobody.
TEST_P(Shares, SeedsThatStayAwayMakeNobodyAlone) {
  for (const Duration away : {5s, 70s, 300s}) {
    GossipNetwork net = fleetOf(GetParam());
    net.run(SettleTime);
    net.Vms.clear();
    net.Now += 1s;
    for (int n = GetParam().Seeds + 1; n <= GetParam().Vms; ++n)
      net.add(n, n % GetParam().DataCentres);
    runAndCheck(net, away, "seeds away");
    for (int n = 1; n <= GetParam().Seeds; ++n)
      net.add(n, n % GetParam().DataCentres);
    runAndCheck(net, SettleTime, "seeds back");
    expectInUse(net, "after all");
  }
}

// Guards against parts of a fleet that start without hearing of each other and each use everything.
TEST_P(Shares, PartsThatStartSeparatedShareOnce) {
  GossipNetwork net = fleetOf(GetParam());
  for (int n = 1; n <= GetParam().Vms; ++n)
    net.Parts[ip(n)] = n % 2;
  runAndCheck(net, 90s, "separated");
  net.Parts.clear();
  runAndCheck(net, SettleTime, "joined");
  expectInUse(net, "after all");
}

// Guards against data centres that are cut off from each other for long, and each take over what
// the silent ones may still use.
TEST_P(Shares, DataCentresThatAreCutOffGainNothing) {
  cutAndJoin(300s, [&](int n) { return n % GetParam().DataCentres; });
}

// Guards against halves of a fleet that are cut off from each other for long, within each data
// centre, and each take over what the other may still use.
TEST_P(Shares, HalvesThatAreCutOffGainNothing) {
  cutAndJoin(200s, [&](int n) { return n / GetParam().DataCentres % 2; });
}

// Guards against a VM that starts again while the seeds are off and stays without shares although
// others know it.
TEST_P(Shares, SurvivorsFindVmsThatStartAgain) {
  GossipNetwork net = fleetOf(GetParam());
  net.run(SettleTime);
  const int last = GetParam().Vms;
  std::set<VmAddress> lost{ip(last)};
  for (int n = 1; n <= GetParam().Seeds; ++n)
    lost.insert(ip(n));
  net.lose(lost);
  runAndCheck(net, 20s, "lost");
  net.add(last, last % GetParam().DataCentres);
  runAndCheck(net, 20s, "one is back");
  EXPECT_GT(net.vm(last).repeatShare(net.Now), 0);
}

INSTANTIATE_TEST_SUITE_P(Sizes, Shares,
                         testing::Values(Fleet{9, 3, 3}, Fleet{16, 2, 3}, Fleet{12, 4, 2},
                                         Fleet{40, 3, 3}, Fleet{8, 1, 1}));

// Guards against VMs that ask upstreams for their load too seldom because a seed was never heard
// of.
TEST(SharesOfOneVm, OfRequestsDoNotDependOnSeeds) {
  GossipNetwork net = fleetOf({.Vms = 4, .DataCentres = 2, .Seeds = 0});
  net.Vms.clear();
  net.Seeds = {ip(1), ip(98), ip(99)};
  for (int n = 1; n <= 4; ++n)
    net.add(n, n % 2);
  net.run(SettleTime);
  EXPECT_NEAR(net.vm(1).repeatShare(net.Now), 0.25 / 3, Tolerance);
  EXPECT_NEAR(net.vm(1).requestShare(net.Now), 0.25, Tolerance);
}

// Guards against VMs that all work with most upstreams, and ask all of them for their load, while
// they don't know the others.
TEST(SharesOfOneVm, OfRequestsAreEstimatedByThoseThatAreKnown) {
  GossipNetwork net = fleetOf({.Vms = 472, .DataCentres = 6, .Seeds = 3});
  net.run(2s);
  for (const auto &[address, vm] : net.Vms) {
    EXPECT_EQ(vm->repeatShare(net.Now), 0);
    EXPECT_GT(vm->requestShare(net.Now), 0);
    EXPECT_LT(vm->requestShare(net.Now), 1.0 / 70);
  }
}

// Guards against a single VM that serves nothing that is shared because it waits for others: one
// without seeds, and one that is its own only seed.
TEST(SharesOfOneVm, AreEverything) {
  for (const bool isSeed : {false, true}) {
    GossipNetwork net = fleetOf({.Vms = 1, .DataCentres = 1, .Seeds = isSeed ? 1 : 0});
    net.run(isSeed ? 13s : 4s);
    EXPECT_DOUBLE_EQ(net.vm(1).repeatShare(net.Now), 1) << isSeed;
    EXPECT_DOUBLE_EQ(sumOfHeldShares(net, SharedThing::NamedLimits), 1) << isSeed;
    EXPECT_DOUBLE_EQ(sumOfHeldShares(net, SharedThing::RatesOfAllVms), 1) << isSeed;
  }
}

} // namespace wigeonlift
