#include <LibFleet/LibFleet.h>

#include <gtest/gtest.h>

namespace wigeonlift {

namespace {

constexpr TimePoint Start{std::chrono::seconds{100}};
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

} // namespace wigeonlift
