#include <LibBudget/LeasedShare.h>
#include <LibMembership/MemberTable.h>
#include <Tests/LibDispatch/DispatcherFixture.h>

#include <gtest/gtest.h>

using namespace wigeonlift;
using namespace wigeonlift::test;

// Runs that the stateful tests found and shrank, repeated without their random parts.

// Guards against a fresh share of the upstream's measuring budget, and an unpermitted position,
// for an upstream whose stale address the list shows for a moment. Found by
// WorldFuzz.KeepsTheMeasuringBudget with seed 1.
TEST(ShrunkFailures, UpstreamKeepsItsProbeShareWhenTheListIsStaleForAMoment) {
  DispatcherFixture<> fixture(1);
  // 2 probes a second to one upstream leave 500 ms between them; the service's share allows more.
  fixture.passTime(12s);
  const auto probe = fixture.take<StartProbe>();
  EXPECT_TRUE(fixture.Dispatcher.mayWriteProbe(probe.Probe, fixture.Now));
  fixture.Dispatcher.didWriteProbe(probe.Probe, fixture.Now);
  fixture.Dispatcher.probeFailed(probe.Probe, fixture.Now, fixture.Out);
  std::vector<UpstreamSpec> stale = makeUpstreams(1);
  stale[0].Address = "10.0.1.0:80";
  stale[0].IsLeaving = true;
  fixture.Dispatcher.setUpstreams(stale, fixture.Now, fixture.Out);
  fixture.Dispatcher.setUpstreams(makeUpstreams(1), fixture.Now, fixture.Out);
  fixture.passTime(400ms);
  EXPECT_EQ(fixture.count<StartProbe>(), 0);
  EXPECT_EQ(fixture.Dispatcher.state(fixture.Now).Upstreams.size(), 2U);
}

// Guards against a VM that is replaced while parts of its share are lent, and whose successor uses
// the whole share. Found by FleetFuzz.KeepsTheInvariants with seed 1: use, run, use, restart.
TEST(ShrunkFailures, SuccessorLeavesRoomForLoansOfItsPredecessor) {
  const ShareAmount own{100, 10};
  const TimePoint killedAt = TimePoint{} + 10s;
  LeasedShare lender(own);
  LeasedShare borrower(own);
  for (int n = 0; n < 8; ++n)
    borrower.didBorrow(lender.lend({100, 10}, {}, killedAt), killedAt, killedAt);
  LeasedShare successor(own, killedAt);
  EXPECT_TRUE(successor.lend({100, 10}, {}, killedAt).isEmpty());
  const auto inFlightOfBoth = [&](Duration later) {
    return borrower.adjustment(killedAt + later).InFlight +
           successor.adjustment(killedAt + later).InFlight;
  };
  EXPECT_EQ(inFlightOfBoth(1ms), 0);
  EXPECT_EQ(successor.validUntil(killedAt), killedAt + 2100ms);
  EXPECT_EQ(inFlightOfBoth(2100ms), 0);
}

// Guards against a late rumour of an earlier incarnation that replaces the present one, which is
// then ignored for good. Found by FleetFuzz.KeepsTheInvariants with seed 3: run, restart, 2 pauses,
// restart, run.
TEST(ShrunkFailures, LateRumourDoesNotReplaceTheIncarnationThatWasHeard) {
  const auto updateOf = [](const char *name, std::uint8_t boot) {
    return MemberUpdate{{name, BootId{{boot}}, 0}, MemberState::Alive, "127.0.0.1:1", "", "a", "r"};
  };
  const PeerIdentity present{"entry-2", BootId{{5}}, 0};
  for (const bool isHeardFirst : {true, false}) {
    FleetOutput output;
    MemberTable table(updateOf("entry-0", 6));
    table.merge(updateOf("entry-2", 5), {}, output);
    if (isHeardFirst)
      table.didHear(present, {}, output);
    table.merge(updateOf("entry-2", 3), {}, output);
    EXPECT_TRUE(table.didHear(present, {}, output));
    EXPECT_EQ(table.find("entry-2")->Info.Id.Boot, present.Boot);
  }
}
