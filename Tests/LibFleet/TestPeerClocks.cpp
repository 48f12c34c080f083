#include <LibFleet/LibFleet.h>

#include <gtest/gtest.h>

#include <algorithm>

namespace wigeonlift {

namespace {

constexpr TimePoint Start{std::chrono::seconds{100}};
constexpr VmAddress Sender = 0x0a000001U;
constexpr VmAddress Receiver = 0x0a000002U;

constexpr Duration ms(int n) { return std::chrono::milliseconds{n}; }

ClockReading readingOf(TimePoint time, std::uint64_t incarnation = 1) {
  return {.Incarnation = incarnation,
          .Ms = static_cast<std::uint64_t>(toMilliseconds(time.time_since_epoch()))};
}

/// What a VM knows of the clock of another VM, which shows less than its own by `lead`.
class SenderClock {
public:
  explicit SenderClock(Duration lead) : Lead(lead) {}

  /// Times are those of the receiver's clock.
  void hear(TimePoint sentAt, Duration delay) {
    Clocks.didReceive(Receiver, readingOf(sentAt), sentAt + delay + Lead);
  }
  /// What the VM tells at `now` about `time`.
  TimePoint tell(TimePoint time, TimePoint now) const {
    const auto reading = Clocks.toClockOf(Receiver, time + Lead, now + Lead);
    return reading ? TimePoint{std::chrono::milliseconds{reading->Ms}} : TimePoint{};
  }

private:
  Duration Lead;
  PeerClocks Clocks;
};

FleetReplica replicaOf(VmAddress ip) {
  FleetReplica replica{FleetVm{.Ip = ip, .DataCentre = "a", .Incarnation = 1},
                       {},
                       FreshnessLimits::forChangeDeadline(std::chrono::seconds{2}),
                       1,
                       Start};
  replica.didReadStore({.Items = {}, .IsComplete = true, .AsOf = 7}, 0, Start, Start);
  return replica;
}

/// Lets two VMs know of each other by a third one.
void introduce(FleetReplica &first, FleetReplica &second) {
  FleetMessage message{.Sender = {.Ip = 0x0a000003U, .DataCentre = "a", .Incarnation = 1}};
  message.Others = {first.members().self(), second.members().self()};
  first.didReceive(message, Start);
  second.didReceive(message, Start);
}

/// Delivers messages between two VMs, and those that follow from them, each after a delay.
void exchange(FleetReplica &from, FleetReplica &to, const std::vector<FleetDatagram> &datagrams,
              TimePoint now, Duration delay) {
  const TimePoint arrival = now + delay;
  for (const FleetDatagram &it : datagrams)
    if (it.To == to.members().self().Ip)
      exchange(to, from, to.didReceive(it.Message, arrival).Datagrams, arrival, delay);
}

} // namespace

// Guards against times that are far from the true ones although messages are fast.
TEST(PeerClocks, FastMessagesGiveCloseTimes) {
  for (const Duration lead : {ms(0), ms(70000), ms(-70000)}) {
    SenderClock clock{lead};
    clock.hear(Start, ms(2));
    const TimePoint told = clock.tell(Start + ms(400), Start + ms(503));
    EXPECT_LE(told, Start + ms(400));
    EXPECT_GE(told, Start + ms(395));
  }
}

// Guards against a clock that is known only from messages that waited together while the process
// stood still, or that all took long: times looked younger than they were by that delay.
TEST(PeerClocks, TimesAreNeverTooYoungHoweverLateAllMessagesAre) {
  SenderClock clock{ms(3000)};
  for (int n = 0; n < 20; ++n) {
    clock.hear(Start + ms(500 * n), ms(1350));
    EXPECT_LE(clock.tell(Start, Start + ms(500 * n + 1350)), Start);
  }
}

// Guards against a difference between clocks that includes the time for which a message waited.
TEST(PeerClocks, DelayedMessagesDoNotMoveTheClock) {
  SenderClock clock{ms(3000)};
  clock.hear(Start, ms(2));
  clock.hear(Start + ms(500), ms(1400));
  const TimePoint told = clock.tell(Start + ms(1000), Start + ms(1900));
  EXPECT_GE(told, Start + ms(990));
  EXPECT_LE(told, Start + ms(1000));
}

// Guards against an estimate that a delayed first message spoils for good.
TEST(PeerClocks, FasterMessagesCorrectTheEstimate) {
  SenderClock clock{ms(3000)};
  clock.hear(Start, ms(1400));
  EXPECT_LE(clock.tell(Start + ms(1500), Start + ms(1500)), Start + ms(100));
  clock.hear(Start + ms(1600), ms(2));
  EXPECT_GE(clock.tell(Start + ms(1500), Start + ms(1602)), Start + ms(1495));
}

// Guards against a VM that takes its own clock for that of a VM that it has never heard.
TEST(PeerClocks, ClocksAreUnknownUntilAMessageArrives) {
  EXPECT_FALSE(PeerClocks{}.toClockOf(Receiver, Start, Start));
}

// Guards against times before the start of a machine's clock.
TEST(PeerClocks, TimesBeforeTheOtherClockStartedAreUnknown) {
  PeerClocks clocks;
  clocks.didReceive(Receiver, {.Incarnation = 1, .Ms = 50}, Start);
  EXPECT_FALSE(clocks.toClockOf(Receiver, Start - ms(60), Start));
  EXPECT_TRUE(clocks.toClockOf(Receiver, Start - ms(40), Start));
}

// Guards against times for an earlier process, whose machine has restarted since.
TEST(PeerClocks, TimesAreForTheLatestIncarnation) {
  PeerClocks clocks;
  const TimePoint now = Start + ms(4000);
  clocks.didReceive(Receiver, {.Incarnation = 1, .Ms = 90'000}, Start);
  clocks.didReceive(Receiver, {.Incarnation = 2, .Ms = 5000}, now);
  const ClockReading expected{.Incarnation = 2, .Ms = 4000};
  EXPECT_EQ(clocks.toClockOf(Receiver, now - ms(1000), now), expected);
  // A message of the earlier process arrives late.
  clocks.didReceive(Receiver, {.Incarnation = 1, .Ms = 93'000}, now);
  EXPECT_EQ(clocks.toClockOf(Receiver, now - ms(1000), now), expected);
}

// Guards against clocks that run at slightly different speeds for hours.
TEST(PeerClocks, EstimatesFollowClocksOfOtherSpeeds) {
  constexpr int seconds = 10 * 3600;
  // In ten-thousandths of the time.
  for (const int gain : {-1, 1}) {
    PeerClocks clocks;
    const auto ownClockAt = [&](int second) {
      return Start + ms(second * 1000) + std::chrono::microseconds{100} * gain * second;
    };
    for (int n = 0; n <= seconds; ++n)
      clocks.didReceive(Receiver, readingOf(Start + ms(n * 1000)), ownClockAt(n));
    const auto told = clocks.toClockOf(Receiver, ownClockAt(seconds), ownClockAt(seconds));
    ASSERT_TRUE(told);
    EXPECT_LE(told->Ms, readingOf(Start + ms(seconds * 1000)).Ms);
    EXPECT_GE(told->Ms + 5, readingOf(Start + ms(seconds * 1000)).Ms);
  }
}

// Guards against a VM that freezes, reads a message that arrived meanwhile, and then takes its
// replica for as young as the sender's was when the message was sent.
TEST(FleetReplica, AMessageThatWaitedDoesNotMakeTheReplicaYounger) {
  FleetReplica sender = replicaOf(Sender);
  FleetReplica receiver = replicaOf(Receiver);
  introduce(sender, receiver);
  exchange(receiver, sender, receiver.announceAge({}, Start), Start, ms(1));
  sender.didConfirm(Start + ms(1000));
  const TimePoint arrival = Start + ms(2200);
  for (const FleetDatagram &it : sender.announceAge({}, Start + ms(1000)))
    if (it.To == Receiver)
      receiver.didReceive(it.Message, arrival);
  EXPECT_NEAR(toSeconds(receiver.freshness().age(arrival)), 1.2, 0.01);
}

// Guards against a VM that knows another one only by messages that took long, and takes its replica
// for younger than it is. It then asks the store too late.
TEST(FleetReplica, SlowMessagesDoNotMakeTheReplicaYounger) {
  constexpr Duration delay = ms(1350);
  FleetReplica sender = replicaOf(Sender);
  FleetReplica receiver = replicaOf(Receiver);
  introduce(sender, receiver);
  for (int n = 1; n < 20; ++n) {
    const TimePoint sentAt = Start + ms(200 * n);
    sender.didConfirm(sentAt);
    exchange(sender, receiver, sender.announceAge({}, sentAt), sentAt, delay);
    EXPECT_GE(receiver.freshness().age(sentAt + delay), std::min(delay, sentAt + delay - Start));
  }
}

// Guards against a VM that hears that the replica of another one was confirmed, but not when, since
// that VM doesn't know its clock. It would ask the store for itself, as the others would too.
TEST(FleetReplica, VmsThatDoNotKnowThisClockAreAsked) {
  FleetReplica sender = replicaOf(Sender);
  FleetReplica receiver = replicaOf(Receiver);
  introduce(sender, receiver);
  const TimePoint sentAt = receiver.freshness().questionDue();
  sender.didConfirm(sentAt);
  exchange(sender, receiver, sender.announceAge({}, sentAt), sentAt, ms(1));
  EXPECT_LE(receiver.freshness().age(sentAt + ms(10)), ms(15));
}

// Guards against VMs that ask each other again and again while the store confirms no replica.
TEST(FleetReplica, UnconfirmedVmsAreNotAskedAgainAtOnce) {
  FleetReplica receiver = replicaOf(Receiver);
  const FleetMessage message{.Sender = {.Ip = Sender, .DataCentre = "a", .Incarnation = 1}};
  const TimePoint due = receiver.freshness().questionDue();
  receiver.didReceive(message, Start);
  EXPECT_EQ(receiver.didReceive(message, due).Datagrams.size(), 1U);
  EXPECT_TRUE(receiver.didReceive(message, due + ms(10)).Datagrams.empty());
}

} // namespace wigeonlift
