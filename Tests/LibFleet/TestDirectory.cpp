#include <Tests/LibFleet/GossipNetwork.h>

#include <algorithm>
#include <string>

namespace wigeonlift {

namespace {

using namespace std::chrono_literals;

/// After that, the directory names no lost VM: the shortest time that a fleet of the users takes to
/// settle, and the three seconds that they add.
constexpr Duration DirectoryBound = 6s;
constexpr std::size_t MostAddresses = 1000;

struct LossCase {
  int Vms = 0;
  int DataCentres = 0;
  /// VMs that are left in the data centre that loses most of them.
  int Left = 0;
  /// Of each other data centre, one VM in so many is lost; 0 for none.
  int OneLostIn = 0;
};

std::string nameOf(int dataCentre) { return std::string(1, static_cast<char>('a' + dataCentre)); }

/// VMs that a case loses.
std::set<VmAddress> lossesOf(const LossCase &it) {
  std::set<VmAddress> lost;
  int left = 0;
  for (int n = 1; n <= it.Vms; ++n) {
    const int dataCentre = n % it.DataCentres;
    const bool isOfFirst = dataCentre == 0;
    if (isOfFirst ? left++ >= it.Left : it.OneLostIn > 0 && n / it.DataCentres % it.OneLostIn == 0)
      lost.insert(ip(n));
  }
  return lost;
}

GossipNetwork settledFleet(int vms, int dataCentres) {
  GossipNetwork net{vms, dataCentres};
  net.Phases = 10;
  net.run(10s);
  return net;
}

class Losses : public testing::TestWithParam<LossCase> {};

} // namespace

// Guards against callers that get addresses of VMs which were lost many seconds before: a VM of
// another data centre counted as alive for 15 s, and again for 15 s if another VM forwarded its
// state late. Callers lose a second for each such address.
TEST_P(Losses, LostVmsAreNotNamedToCallers) {
  const LossCase &param = GetParam();
  GossipNetwork net = settledFleet(param.Vms, param.DataCentres);
  const std::set<VmAddress> lost = lossesOf(param);
  net.lose(lost);
  net.run(DirectoryBound);
  int answers = 0;
  int shortAnswers = 0;
  for (const TimePoint end = net.Now + 20s; net.Now < end; net.run(1s))
    for (const auto &[address, vm] : net.Vms)
      for (int dataCentre = 0; dataCentre < param.DataCentres; ++dataCentre) {
        const auto named = vm->addressesForCaller(nameOf(dataCentre), MostAddresses, net.Now);
        const auto dead =
            std::ranges::count_if(named, [&](VmAddress it) { return lost.contains(it); });
        ASSERT_EQ(dead, 0) << "named by " << address << " at " << toSeconds(net.Now - GossipStart);
        ++answers;
        shortAnswers += named.size() < FleetMembership::MinAddresses ? 1 : 0;
      }
  // Callers that have only one address have no other if that one fails.
  EXPECT_LE(shortAnswers, answers / 20);
}

INSTANTIATE_TEST_SUITE_P(Directory, Losses,
                         testing::Values(LossCase{9, 3, 1, 3}, LossCase{9, 3, 0, 0},
                                         LossCase{9, 3, 1, 1 + 1}, LossCase{12, 4, 1, 2},
                                         LossCase{16, 3, 0, 4}, LossCase{30, 3, 1, 2},
                                         LossCase{109, 4, 1, 2}, LossCase{124, 5, 0, 3},
                                         LossCase{472, 6, 1, 2}, LossCase{472, 6, 0, 0}));

// Guards against callers that crowd at few VMs because the states of most are too old to be named.
TEST(Directory, NamesMostLiveVmsOfTheCallersDataCentre) {
  constexpr std::size_t enoughForCallers = 16;
  for (const auto &[vms, dataCentres] : {std::pair{16, 3}, std::pair{109, 4}, std::pair{472, 6}}) {
    GossipNetwork net = settledFleet(vms, dataCentres);
    std::size_t named = 0;
    std::size_t live = 0;
    for (int n = 0; n < 20; ++n, net.run(500ms))
      for (const auto &[address, vm] : net.Vms) {
        const std::string &own = vm->self().DataCentre;
        const auto answer = vm->addressesForCaller(own, MostAddresses, net.Now).size();
        const auto local = static_cast<std::size_t>(std::ranges::count_if(
            net.Vms, [&](const auto &it) { return it.second->self().DataCentre == own; }));
        ASSERT_GE(answer, std::min(local, enoughForCallers)) << vms << " VMs";
        named += answer;
        live += local;
      }
    EXPECT_GE(4 * named, 3 * live) << vms << " VMs";
  }
}

// Guards against a VM that was frozen, and takes messages that waited for it for news.
TEST(Directory, MessagesThatWaitedAreNotNews) {
  GossipNetwork net = settledFleet(4, 2);
  FleetMessage waiting = net.vm(2).tick(net.Now).front().Message;
  waiting.Sender = net.vm(2).self();
  waiting.SentAtMs = static_cast<std::uint64_t>(toMilliseconds(net.Now.time_since_epoch()));
  net.Now += 20s;
  net.vm(1).didReceive(waiting, net.Now);
  const auto named = net.vm(1).addressesForCaller(net.vm(2).self().DataCentre, 64, net.Now);
  EXPECT_EQ(std::ranges::count(named, ip(2)), 0);
}

// Guards against the age of a state that is lost on the way to another VM.
TEST(Directory, MessagesSayHowOldStatesAre) {
  const FleetMessage message{.Sender = {.Ip = ip(1), .DataCentre = "a"},
                             .Others = {{.Ip = ip(2), .DataCentre = "a", .Age = 1234ms}}};
  const auto decoded = decodeFleetMessage(encodeFleetMessage(message));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->Sender.Age, 0ms);
  EXPECT_EQ(decoded->Others.at(0).Age, 1300ms);
}

} // namespace wigeonlift
