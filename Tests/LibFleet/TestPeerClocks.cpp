#include <LibFleet/LibFleet.h>

#include <gtest/gtest.h>

namespace wigeonlift {

namespace {

constexpr TimePoint Start{std::chrono::seconds{100}};
constexpr VmAddress Sender = 0x0a000001U;
constexpr VmAddress Receiver = 0x0a000002U;

Duration ms(int n) { return std::chrono::milliseconds{n}; }

ClockReading reading(std::uint64_t milliseconds, std::uint64_t incarnation = 1) {
  return {.Vm = Sender, .Incarnation = incarnation, .Ms = milliseconds};
}

FleetReplica replicaOf(VmAddress ip) {
  return {FleetVm{.Ip = ip, .DataCentre = "a", .Incarnation = 1},
          {},
          FreshnessLimits::forChangeDeadline(std::chrono::seconds{2}),
          1,
          Start};
}

} // namespace

// Guards against a difference between clocks that includes the time for which a message waited.
TEST(PeerClocks, DelayedMessagesDoNotMoveTheClock) {
  PeerClocks clocks;
  clocks.didReceive(reading(5000), Start + ms(2));
  clocks.didReceive(reading(5500), Start + ms(502));
  clocks.didReceive(reading(6000), Start + ms(2400));
  const auto converted = clocks.toOwnClock(reading(6000), Start + ms(2400));
  ASSERT_TRUE(converted);
  EXPECT_GE(*converted, Start + ms(1000));
  EXPECT_LE(*converted, Start + ms(1010));
}

// Guards against an estimate that a delayed first message spoils for good.
TEST(PeerClocks, FasterMessagesCorrectTheEstimate) {
  PeerClocks clocks;
  clocks.didReceive(reading(5000), Start + ms(1500));
  clocks.didReceive(reading(7000), Start + ms(2002));
  EXPECT_EQ(clocks.toOwnClock(reading(7000), Start + ms(2002)), Start + ms(2002));
}

// Guards against a clock that is known only from messages that waited together while the process
// stood still.
TEST(PeerClocks, MessagesThatWaitedTogetherAreNotTrustedForLong) {
  PeerClocks clocks;
  clocks.didReceive(reading(5000), Start + ms(3000));
  clocks.didReceive(reading(5020), Start + ms(3001));
  EXPECT_TRUE(clocks.toOwnClock(reading(5000), Start + ms(3500)));
  EXPECT_FALSE(clocks.toOwnClock(reading(5000), Start + ms(4100)));
  // The process runs again, and these took 2 ms each.
  clocks.didReceive(reading(9000), Start + ms(4202));
  clocks.didReceive(reading(9500), Start + ms(4702));
  EXPECT_EQ(clocks.toOwnClock(reading(9000), Start + ms(9000)), Start + ms(4202));
}

// Guards against times on the clock of an earlier process, whose machine has restarted since.
TEST(PeerClocks, TimesOfOtherIncarnationsAreUnknown) {
  PeerClocks clocks;
  const TimePoint now = Start + ms(4000);
  clocks.didReceive(reading(5000, 1), Start);
  clocks.didReceive(reading(10, 2), now);
  EXPECT_FALSE(clocks.toOwnClock(reading(5000, 1), now));
  EXPECT_EQ(clocks.toOwnClock(reading(10, 2), now), now);
  // A message of the earlier process arrives late.
  clocks.didReceive(reading(5100, 1), now + ms(100));
  EXPECT_EQ(clocks.toOwnClock(reading(10, 2), now + ms(100)), now);
}

// Guards against clocks that run at slightly different speeds for hours.
TEST(PeerClocks, EstimatesFollowSlowClocks) {
  PeerClocks clocks;
  constexpr int hours = 10;
  // The sender's clock loses a ten-thousandth.
  for (int n = 0; n <= hours * 3600; ++n)
    clocks.didReceive(reading(5000 + n * 1000ULL - n / 10), Start + ms(n * 1000));
  const TimePoint end = Start + std::chrono::hours{hours};
  const auto converted =
      clocks.toOwnClock(reading(5000 + hours * 3600 * 1000ULL - hours * 360), end);
  ASSERT_TRUE(converted);
  EXPECT_LE(end - *converted, ms(5));
}

// Guards against a VM that freezes, reads a message that arrived meanwhile, and then takes its
// replica for as young as the sender's was when the message was sent.
TEST(FleetReplica, AMessageThatWaitedDoesNotMakeTheReplicaYounger) {
  FleetReplica sender = replicaOf(Sender);
  FleetReplica receiver = replicaOf(Receiver);
  sender.didReadStore({.Items = {}, .IsComplete = true, .AsOf = 7}, 0, Start, Start);
  receiver.didReadStore({.Items = {}, .IsComplete = true, .AsOf = 7}, 0, Start, Start);
  // The VMs have heard of each other.
  receiver.didReceive(sender.members().messageWithSelf(Start), Start + ms(1));
  receiver.didReceive(sender.members().messageWithSelf(Start + ms(500)), Start + ms(501));
  sender.didConfirm(Start + ms(1000));
  const FleetMessage message = sender.members().messageWithSelf(Start + ms(1000));
  receiver.didReceive(message, Start + ms(2200));
  EXPECT_NEAR(toSeconds(receiver.freshness().age(Start + ms(2200))), 1.2, 0.01);
}

} // namespace wigeonlift
