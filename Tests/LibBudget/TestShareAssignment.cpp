#include <LibBudget/LibBudget.h>

#include <gtest/gtest.h>

#include <array>
#include <numeric>

using namespace wigeonlift;

namespace {

constexpr int Shares = 5;
constexpr std::uint64_t Keys = 400;

/// A fleet of which every VM knows all VMs of its data centre, and the weights of the others.
struct Fleet {
  struct DataCentre {
    std::string Name;
    std::vector<ShareAssignment::Vm> Vms;
  };
  std::vector<DataCentre> DataCentres{
      {"a", {{.Address = 1}, {.Address = 2}, {.Address = 3}, {.Address = 4, .Weight = 3}}},
      {"b", {{.Address = 5}, {.Address = 6}}},
      {"c", {{.Address = 7, .Weight = 2}}}};

  std::vector<ShareAssignment::DataCentre> weights() const {
    std::vector<ShareAssignment::DataCentre> result;
    for (const DataCentre &it : DataCentres)
      result.push_back({it.Name, std::accumulate(it.Vms.begin(), it.Vms.end(), 0.0,
                                                 [](double sum, const ShareAssignment::Vm &vm) {
                                                   return sum + vm.Weight;
                                                 })});
    return result;
  }
  std::vector<ShareAssignment> assignments() const { return assignments(weights()); }
  std::vector<ShareAssignment>
  assignments(const std::vector<ShareAssignment::DataCentre> &weights) const {
    std::vector<ShareAssignment> result;
    for (const DataCentre &it : DataCentres)
      for (const ShareAssignment::Vm &vm : it.Vms)
        result.emplace_back(vm, it.Name, weights, it.Vms);
    return result;
  }
};

} // namespace

// Guards against shares that two VMs use, or none.
TEST(ShareAssignment, EveryShareHasOneHolder) {
  const auto assignments = Fleet{}.assignments();
  for (std::uint64_t key = 0; key < Keys; ++key) {
    int held = 0;
    for (const ShareAssignment &it : assignments)
      held += it.heldShares(key, Shares);
    EXPECT_EQ(held, Shares) << key;
  }
  EXPECT_EQ(ShareAssignment{}.heldShares(7, Shares), Shares);
}

// Guards against large VMs that hold no more than small ones although they get more requests.
TEST(ShareAssignment, VmsHoldSharesInProportionToTheirWeights) {
  const auto assignments = Fleet{}.assignments();
  constexpr std::array<double, 7> weights{1, 1, 1, 3, 1, 1, 2};
  for (std::size_t n = 0; n < weights.size(); ++n) {
    int held = 0;
    for (std::uint64_t key = 0; key < Keys; ++key)
      held += assignments[n].heldShares(key, Shares);
    const double expected = weights[n] / 10 * Shares * Keys;
    EXPECT_NEAR(held, expected, expected / 4) << n;
    EXPECT_NEAR(assignments[n].ownFraction(), weights[n] / 10, 1e-9);
  }
}

// Guards against shares that move between VMs that stay, since each move may be seen late by some.
TEST(ShareAssignment, OnlyTheSharesOfAVmThatLeavesMove) {
  Fleet fleet;
  const auto before = fleet.assignments();
  // The others go on with the weight that they know of the data centre.
  const auto weights = fleet.weights();
  fleet.DataCentres[0].Vms.erase(fleet.DataCentres[0].Vms.begin());
  const auto after = fleet.assignments(weights);
  for (std::uint64_t key = 0; key < Keys; ++key) {
    int held = 0;
    for (std::size_t n = 0; n < after.size(); ++n) {
      EXPECT_GE(after[n].heldShares(key, Shares), before[n + 1].heldShares(key, Shares)) << key;
      held += after[n].heldShares(key, Shares);
    }
    EXPECT_EQ(held, Shares) << key;
  }
}

// Guards against saved requests that exceed the shares of a rate, and against a share that comes
// with saved requests although its former holder may just have used them.
TEST(DividedRate, HoldersSaveAtMostOneRequestPerShare) {
  const TimePoint start{std::chrono::seconds{100}};
  const DividedRate::Terms terms{
      .FleetKey = 7, .RequestsPerSecond = 1000, .Shares = 4, .SavedRequestsPerShare = 1};
  DividedRate rate;
  rate.setTerms(terms, ShareAssignment{}, start);
  EXPECT_EQ(rate.heldShares(), 4);
  const TimePoint later = start + std::chrono::seconds{10};
  int taken = 0;
  while (rate.take(later))
    ++taken;
  EXPECT_EQ(taken, 4);
  DividedRate gained;
  gained.setTerms(terms, ShareAssignment::withoutShares(), start);
  EXPECT_FALSE(gained.hasRoom(later));
  gained.setAssignment(ShareAssignment{}, later);
  EXPECT_FALSE(gained.take(later));
  EXPECT_TRUE(gained.take(later + std::chrono::milliseconds{2}));
}
