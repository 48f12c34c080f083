#include <Tests/LibBalance/Harness.h>
#include <Tests/LibBalance/OverloadedFleet.h>

namespace wigeonlift::test {

namespace {

constexpr Duration s(int n) { return std::chrono::seconds{n}; }
constexpr Duration BurstAt = s(5);
constexpr Duration BurstEnd = s(12);

KindOfLoad bookings(double perSecond, Duration from = {}, Duration to = s(20)) {
  return {perSecond, from, to, 0, ms(190), ms(500), ms(3000)};
}
KindOfLoad lookUps(double perSecond, Duration from = {}, Duration to = s(20)) {
  return {perSecond, from, to, 1, ms(280), ms(800), ms(3000)};
}

struct Case {
  std::string Name;
  OverloadedFleetOptions Options;
};

// The upstreams serve about 128 look-ups a second, or 190 bookings.
std::vector<Case> overloads() {
  const std::vector<KindOfLoad> burstOfAll{bookings(30, {}, BurstAt), lookUps(60, {}, BurstAt),
                                           bookings(60, BurstAt, BurstEnd),
                                           lookUps(160, BurstAt, BurstEnd)};
  return {{"burst of look-ups",
           {.Loads = {bookings(30), lookUps(60, {}, BurstAt), lookUps(200, BurstAt, BurstEnd)}}},
          {"burst of bookings",
           {.Loads = {bookings(30, {}, BurstAt), bookings(170, BurstAt, BurstEnd), lookUps(60)}}},
          {"burst of all kinds", {.Loads = burstOfAll}},
          {"burst of all kinds, upstreams reject", {.Loads = burstOfAll, .RejectedFraction = 0.1}},
          {"half of the upstreams lost",
           {.Loads = {bookings(30), lookUps(60)}, .HalfLostAt = BurstAt}}};
}

/// Sums over ten seeds, whose outcomes differ by up to 0.02.
std::map<int, OverloadedFleet::Outcome> outcomes(OverloadedFleetOptions options, bool isControlled,
                                                 std::vector<double> *admitted = nullptr) {
  options.HasOverloadControl = isControlled;
  std::map<int, OverloadedFleet::Outcome> sums;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    OverloadedFleet fleet{options, seed};
    // The loads end at 20 s. The last reports of a shortage expire 1.5 s after it, and admission is
    // open at most 3 s later.
    fleet.run(s(26));
    for (const auto &[priority, it] : fleet.Outcomes) {
      sums[priority].Requests += it.Requests;
      sums[priority].Served += it.Served;
      sums[priority].Timely += it.Timely;
      sums[priority].RejectedTwice += it.RejectedTwice;
    }
    if (admitted)
      *admitted = fleet.Admitted;
  }
  return sums;
}

} // namespace

// Guards against urgent requests that are rejected at one VM while others fill the upstreams with
// less urgent ones, against callers that return and are rejected again, and against a gain of one
// kind at a greater loss of all.
TEST(Overload, ServesUrgentAndReturningRequests) {
  for (const auto &[name, options] : overloads()) {
    const auto before = outcomes(options, false);
    const auto after = outcomes(options, true);
    const auto text = [](const auto &it) {
      return testing::Message() << "served " << it.served() << ", timely " << it.timely();
    };
    const auto served = [](const auto &it) {
      return static_cast<double>(it.at(0).Served + it.at(1).Served) /
             (it.at(0).Requests + it.at(1).Requests);
    };
    SCOPED_TRACE(testing::Message()
                 << name << ": urgent " << text(before.at(0)) << " -> " << text(after.at(0))
                 << "; others " << text(before.at(1)) << " -> " << text(after.at(1)));
    EXPECT_GE(after.at(0).served(), 0.96);
    EXPECT_GE(after.at(0).timely(), before.at(0).timely() - 0.02);
    EXPECT_LT(after.at(0).RejectedTwice, before.at(0).RejectedTwice);
    EXPECT_GE(served(after), served(before));
    EXPECT_GE(after.at(1).timely(), before.at(1).timely() - 0.12);
    // No kind is starved.
    EXPECT_GE(after.at(1).served(), 0.25 * served(after));
  }
}

// Guards against a different decision where nothing is short: each request is served in time.
TEST(Overload, ChangesNothingWithoutShortage) {
  const OverloadedFleetOptions options{.Loads = {bookings(30), lookUps(60)}};
  std::vector<double> admitted;
  const auto before = outcomes(options, false);
  const auto after = outcomes(options, true, &admitted);
  for (const int priority : {0, 1}) {
    EXPECT_EQ(after.at(priority).Timely, before.at(priority).Timely);
    EXPECT_EQ(after.at(priority).Timely, after.at(priority).Requests);
  }
  EXPECT_GE(std::ranges::min(admitted), 1);
}

// Guards against less admission at a service with one priority, where nobody gains by it.
TEST(Overload, AdmitsAllRequestsOfASinglePriority) {
  const OverloadedFleetOptions options{
      .Loads = {lookUps(60, {}, BurstAt), lookUps(200, BurstAt, BurstEnd)}};
  std::vector<double> admitted;
  const auto before = outcomes(options, false);
  const auto after = outcomes(options, true, &admitted);
  EXPECT_GE(std::ranges::min(admitted), 1);
  EXPECT_GE(after.at(1).served(), before.at(1).served());
  EXPECT_GE(after.at(1).timely(), before.at(1).timely() - 0.03);
}

// Guards against admission that swings between shut and open under a constant load, and that stays
// shut after it.
TEST(Overload, AdmissionDoesNotOscillate) {
  std::vector<double> admitted;
  outcomes({.Loads = {bookings(120), lookUps(100)}}, true, &admitted);
  // In the second half of the constant load.
  const auto [least, most] =
      std::ranges::minmax(std::vector<double>(admitted.begin() + 20, admitted.begin() + 40));
  EXPECT_LT(most - least, 0.3);
  EXPECT_GE(least, 0.4);
  EXPECT_LT(most, 1);
  EXPECT_GT(admitted.back(), 0.99);
}

// Guards against rejecting a caller twice by the rule for new requests that are late, and against
// placing such requests behind new ones that are late as well.
TEST(Overload, KeepsRequestsOfCallersThatReturn) {
  Harness it{2};
  it.learnWorkTime();
  it.fillUpstreams();
  RequestSpec late = it.spec();
  late.Objective = it.Now;
  late.Deadline = it.Now + s(2);
  it.arrive(late);
  RequestSpec returning = late;
  returning.Id = it.spec().Id;
  returning.IsReturning = true;
  const CallId second = it.arrive(returning);
  it.advance(ms(100));
  it.Loads[Harness::index(0)].InFlight = 1;
  it.advance(ms(100));
  ASSERT_FALSE(it.Sent.empty());
  EXPECT_EQ(it.Sent.front().Call, second);
  returning.Id = it.spec().Id;
  it.fillUpstreams();
  const CallId third = it.arrive(returning);
  it.advance(ms(1000));
  EXPECT_FALSE(it.Refused.contains(third));
}

// Guards against a fraction that depends on one lost or old report, and against shortages of other
// or of less urgent requests.
TEST(PriorityAdmission, FollowsReportsOfMoreUrgentRequests) {
  PriorityAdmission it;
  TimePoint now = Start;
  for (const int priority : {0, 1, 2})
    it.didArrive(priority, now);
  const auto pass = [&](Duration span, std::optional<Shortage> report) {
    for (const TimePoint end = now + span; now < end; now += ms(100)) {
      it.didDecide(1, true, now);
      if (report)
        it.didHear(1, report, now);
      it.update(now);
    }
  };
  pass(s(2), Shortage{.Priority = 1, .Waiting = 8});
  EXPECT_EQ(it.admittedFraction(0), 1);
  EXPECT_EQ(it.admittedFraction(1), 1);
  EXPECT_LT(it.admittedFraction(2), 0.7);
  EXPECT_EQ(it.slotsToLeaveFree(2, 0), 1);
  EXPECT_EQ(it.slotsToLeaveFree(2, UINT64_MAX), 0);
  EXPECT_EQ(it.slotsToLeaveFree(1, 0), 0);
  const double least = it.admittedFraction(2);
  pass(PriorityAdmission::ReportLifetime - ms(300), std::nullopt);
  EXPECT_LE(it.admittedFraction(2), least + 0.05);
  pass(s(4), std::nullopt);
  EXPECT_EQ(it.admittedFraction(2), 1);
}

// Guards against a kind that hardly gets any room, since the others always come first.
TEST(PriorityAdmission, QueuesStarvedRequestsLikeTheMostUrgent) {
  PriorityAdmission it;
  for (const int priority : {0, 1})
    it.didArrive(priority, Start);
  for (int n = 0; n < 20; ++n) {
    it.didDecide(0, true, Start);
    it.didDecide(1, n % 4 == 0, Start);
  }
  EXPECT_EQ(it.queuePriority(1), 0);
  for (int n = 0; n < 20; ++n)
    it.didDecide(1, true, Start);
  EXPECT_EQ(it.queuePriority(1), 1);
}

// Guards against early refusals without evidence: no backlog, or no start since an outage.
TEST(QueueForecast, NeedsABacklogWithStarts) {
  QueueForecast it;
  EXPECT_FALSE(it.earliestStart(100, Start));
  it.setBacklog(true, Start);
  EXPECT_FALSE(it.earliestStart(100, Start + s(2)));
  TimePoint now = Start + s(2);
  for (int n = 0; n < 40; ++n, now += ms(100))
    it.didStart(now);
  EXPECT_NEAR(it.startsPerSecond(now).value(), 8, 2);
  const auto start = it.earliestStart(40, now);
  ASSERT_TRUE(start);
  // At 10 starts a second this takes 4 s; the margin makes it less, never more.
  EXPECT_GT(*start, now + s(1));
  EXPECT_LT(*start, now + s(4));
  it.setBacklog(false, now);
  EXPECT_FALSE(it.earliestStart(100, now));
}

// Guards against callers that all return at once, out of order, or later than they honour.
TEST(ReturnSchedule, ReturnsInOrderAtTheRateOfStarts) {
  ReturnSchedule it;
  EXPECT_EQ(it.didReject(5, std::nullopt, s(1), Start), s(1));
  EXPECT_EQ(it.didReject(4, 10.0, s(1), Start), ms(500));
  EXPECT_EQ(it.didReject(4, 10.0, s(1), Start), ms(600));
  EXPECT_EQ(it.didReject(0, 10.0, s(1), Start + ms(100)), ms(600));
  EXPECT_EQ(it.didReject(100, 10.0, s(1), Start), s(1));
}

} // namespace wigeonlift::test
