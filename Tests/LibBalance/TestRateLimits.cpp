#include <Tests/LibBalance/LimitedFleet.h>

#include <gtest/gtest.h>

#include <ostream>

using namespace wigeonlift;
using namespace wigeonlift::test;

namespace {

/// A fleet, and how many seeds to run it with.
struct FleetCase {
  const char *Name;
  LimitedFleetOptions Options;
  std::uint64_t Seeds;
};

std::ostream &operator<<(std::ostream &out, const FleetCase &it) { return out << it.Name; }

class LimitedFleets : public testing::TestWithParam<FleetCase> {};

} // namespace

// Guards against an upstream that names a rate limit and gets more requests from all VMs together:
// because VMs ignore it, divide it by a wrong number of VMs when some join, die or are cut off, or
// send queued requests, retries and hedges in addition.
TEST_P(LimitedFleets, KeepTheLimitsThatUpstreamsName) {
  const FleetCase &fleet = GetParam();
  for (std::uint64_t seed = 1; seed <= fleet.Seeds; ++seed) {
    LimitedFleet model{fleet.Options, seed};
    const std::vector<std::string> violations = model.run();
    ASSERT_TRUE(violations.empty())
        << "seed " << seed << ": " << violations.front() << ", " << violations.size() << " in all";
  }
}

INSTANTIATE_TEST_SUITE_P(
    OfAllSizes, LimitedFleets,
    testing::Values(
        FleetCase{"OneVm", {.Vms = 1, .DataCentres = 1, .RequestsPerSecond = 20}, 300},
        FleetCase{"FewVms", {.Vms = 4, .DataCentres = 2, .RequestsPerSecond = 60}, 600},
        FleetCase{
            "SmallLimits", {.Vms = 12, .DataCentres = 4, .MinLimit = 0.1, .MaxLimit = 3}, 600},
        FleetCase{"Calm", {.Vms = 16, .DataCentres = 3, .HasFaults = false}, 300},
        FleetCase{"AllUpstreams", {.Vms = 16, .DataCentres = 3, .LimitedFraction = 1}, 300},
        FleetCase{"ManyVms", {.Vms = 48, .DataCentres = 4, .RequestsPerSecond = 150}, 60},
        FleetCase{"GrownFleet",
                  {.Vms = 136, .DataCentres = 3, .Upstreams = 24, .RequestsPerSecond = 250},
                  6},
        FleetCase{"LargeFleet",
                  {.Vms = 472, .DataCentres = 6, .Upstreams = 24, .RequestsPerSecond = 400},
                  1}),
    [](const auto &it) { return std::string{it.param.Name}; });
