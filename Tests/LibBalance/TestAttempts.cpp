#include <Tests/LibBalance/Harness.h>

namespace wigeonlift {

// Guards against a second execution of a non-idempotent request.
TEST(Attempts, SentNonIdempotentRequestsAreNotRetried) {
  Harness it{4};
  const CallId id = it.arrive(CallClass::NonIdempotent);
  it.fail(it.firstSendOf(id), AttemptStage::Sent);
  EXPECT_EQ(it.sendsOf(id).size(), 1U);
  ASSERT_TRUE(it.Refused.contains(id));
  EXPECT_EQ(it.Refused[id].Executed, Execution::Unknown);
}

// Guards against the refusal of a request that another upstream could run. The first upstream has
// reported that it did not run the request.
TEST(Attempts, RequestsThatWereNotRunAreRetriedAtAnotherUpstream) {
  Harness it{4};
  const CallId id = it.arrive(CallClass::NonIdempotent);
  it.respond(it.firstSendOf(id), ResponseKind::NotRun);
  ASSERT_EQ(it.sendsOf(id).size(), 2U);
  EXPECT_NE(it.sendsOf(id)[0].Upstream, it.sendsOf(id)[1].Upstream);
  it.respond(it.sendsOf(id)[1], ResponseKind::NotRun);
  ASSERT_TRUE(it.Refused.contains(id));
  EXPECT_EQ(it.Refused[id].Executed, Execution::NotRun);
}

// Guards against reporting a request as not run when only its last attempt is known not to have
// run.
TEST(Attempts, OneUnknownAttemptMakesTheOutcomeUnknown) {
  Harness it{4};
  const CallId id = it.arrive();
  it.fail(it.firstSendOf(id), AttemptStage::Sent);
  ASSERT_EQ(it.sendsOf(id).size(), 2U);
  it.respond(it.sendsOf(id)[1], ResponseKind::NotRun);
  ASSERT_TRUE(it.Refused.contains(id));
  EXPECT_EQ(it.Refused[id].Executed, Execution::Unknown);
}

// Guards against a second execution by the caller: an upstream that ran the request fails with a
// status that callers take for a promise that it did not run.
TEST(Attempts, MisleadingFailuresNeverReachTheCaller) {
  for (const CallClass callClass : {CallClass::Idempotent, CallClass::NonIdempotent}) {
    Harness it{4};
    const CallId id = it.arrive(callClass);
    for (std::size_t n = 0; n < it.sendsOf(id).size(); ++n) {
      it.respond(it.sendsOf(id)[n], ResponseKind::MisleadingFailure);
      EXPECT_EQ(it.LastAction, ResponseAction::Drop);
    }
    EXPECT_EQ(it.sendsOf(id).size(), callClass == CallClass::Idempotent ? 2U : 1U);
    ASSERT_TRUE(it.Refused.contains(id));
    EXPECT_EQ(it.Refused[id].Executed, Execution::Unknown);
    EXPECT_EQ(it.Refused[id].Kind, FailureKind::UpstreamError);
  }
}

// Guards against the same promise by way of a retry: the second upstream did not run the request,
// but the first one did.
TEST(Attempts, ANotRunAfterAMisleadingFailureProvesNothing) {
  Harness it{4};
  const CallId id = it.arrive();
  it.respond(it.firstSendOf(id), ResponseKind::MisleadingFailure);
  ASSERT_EQ(it.sendsOf(id).size(), 2U);
  it.respond(it.sendsOf(id)[1], ResponseKind::NotRun);
  ASSERT_TRUE(it.Refused.contains(id));
  EXPECT_EQ(it.Refused[id].Executed, Execution::Unknown);
}

// Guards against the same promise while a hedge runs, and against a hedge that is given up for it.
TEST(Attempts, AMisleadingFailureLeavesTheHedgeRunning) {
  Harness it{6};
  it.learnWorkTime();
  const CallId id = it.arrive();
  it.Loads[it.firstSendOf(id).Upstream].SlownessPercent = 400;
  it.advance(std::chrono::milliseconds{150});
  ASSERT_EQ(it.sendsOf(id).size(), 2U);
  it.respond(it.firstSendOf(id), ResponseKind::MisleadingFailure);
  EXPECT_EQ(it.LastAction, ResponseAction::Drop);
  EXPECT_FALSE(it.Refused.contains(id));
  it.respond(it.sendsOf(id)[1], ResponseKind::NotRun);
  ASSERT_TRUE(it.Refused.contains(id));
  EXPECT_EQ(it.Refused[id].Executed, Execution::Unknown);
}

// Some responses of the upstreams are corrupt. Guards against invalid responses that reach the
// caller although there is time to retry at another upstream.
TEST(Attempts, IdempotentRequestsAreRetriedAfterInvalidResponses) {
  Harness it{4};
  const CallId id = it.arrive();
  it.respond(it.firstSendOf(id), ResponseKind::Invalid);
  ASSERT_EQ(it.sendsOf(id).size(), 2U);
  it.respond(it.sendsOf(id)[1], ResponseKind::Success);
  EXPECT_EQ(it.LastAction, ResponseAction::Relay);
}

// All upstreams reject requests without running them. Guards against retries beyond the budget.
TEST(Attempts, RetriesStayWithinTheBudget) {
  Harness it{8};
  it.Balancer.setRetryBudget(0.2, 0, std::chrono::seconds{10});
  int retries = 0;
  for (int n = 0; n < 200; ++n) {
    it.advance(std::chrono::milliseconds{20});
    const CallId id = it.arrive();
    if (it.sendsOf(id).empty())
      continue;
    it.respond(it.firstSendOf(id), ResponseKind::NotRun);
    retries += static_cast<int>(it.sendsOf(id).size()) - 1;
  }
  EXPECT_LE(retries, 40);
  EXPECT_GT(retries, 0);
}

// An upstream becomes slow while it runs a request. Guards against a late response while another
// upstream could still respond on time.
TEST(Attempts, HedgesWhenTheUpstreamBecomesSlow) {
  Harness it{6};
  it.learnWorkTime();
  const CallId id = it.arrive();
  it.Loads[it.firstSendOf(id).Upstream].SlownessPercent = 400;
  it.advance(std::chrono::milliseconds{150});
  ASSERT_EQ(it.sendsOf(id).size(), 2U);
  it.respond(it.sendsOf(id)[1], ResponseKind::Success);
  EXPECT_EQ(it.LastAction, ResponseAction::Relay);
  EXPECT_EQ(it.Aborted, std::vector{it.sendsOf(id)[0].Attempt});
}

// Guards against hedges of non-idempotent requests and of requests that are on time.
TEST(Attempts, DoesNotHedgeOnTimeOrNonIdempotentRequests) {
  Harness it{6};
  it.learnWorkTime();
  const CallId onTime = it.arrive();
  it.advance(std::chrono::milliseconds{150});
  EXPECT_EQ(it.sendsOf(onTime).size(), 1U);
  const CallId nonIdempotent = it.arrive(CallClass::NonIdempotent);
  it.Loads[it.firstSendOf(nonIdempotent).Upstream].SlownessPercent = 400;
  it.advance(std::chrono::milliseconds{150});
  EXPECT_EQ(it.sendsOf(nonIdempotent).size(), 1U);
}

// Guards against idempotent requests that keep running after their caller has disconnected, and
// against non-idempotent requests that are interrupted.
TEST(Attempts, DisconnectedCallersCancelIdempotentRequestsOnly) {
  Harness it{6};
  const CallId idempotent = it.arrive();
  const CallId nonIdempotent = it.arrive(CallClass::NonIdempotent);
  BalanceCommands out;
  it.Balancer.callerLeft(idempotent, it.Now, out);
  it.Balancer.callerLeft(nonIdempotent, it.Now, out);
  it.handle(out);
  EXPECT_EQ(it.Aborted, std::vector{it.firstSendOf(idempotent).Attempt});
}

// Guards against responses after the deadline. A request that was sent is reported as of unknown
// outcome, never as not run.
TEST(Attempts, RequestsFailAtTheirDeadline) {
  Harness it{3};
  const CallId id = it.arrive(CallClass::NonIdempotent);
  it.advance(std::chrono::milliseconds{800});
  ASSERT_TRUE(it.Refused.contains(id));
  EXPECT_EQ(it.Refused[id].Kind, FailureKind::DeadlineExceeded);
  EXPECT_EQ(it.Refused[id].Executed, Execution::Unknown);
}

// Guards against sending a request to an upstream that was removed while the connection was being
// opened.
TEST(Attempts, RemovedUpstreamsGetNoRequests) {
  Harness it{2};
  BalanceCommands out;
  const RequestSpec spec = it.spec();
  it.Balancer.requestArrived(spec, it.Now, out);
  std::vector<SendRequest> chosen;
  while (!out.empty()) {
    BalanceCommands next;
    for (const BalanceCommand &command : out) {
      if (const auto *probe = std::get_if<SendProbe>(&command))
        it.Balancer.probeAnswered(probe->Probe, LoadReport{.Slots = 3}, it.Now, next);
      if (const auto *send = std::get_if<SendRequest>(&command))
        chosen.push_back(*send);
    }
    out = std::move(next);
  }
  ASSERT_EQ(chosen.size(), 1U);
  std::erase_if(it.Upstreams, [&](const auto &info) { return info.Index == chosen[0].Upstream; });
  it.apply();
  EXPECT_FALSE(it.Balancer.maySend(chosen[0].Attempt, it.Now, out));
  it.handle(out);
  ASSERT_EQ(it.Sent.size(), 1U);
  EXPECT_NE(it.Sent[0].Upstream, chosen[0].Upstream);
}

// An upstream fails a request while its probe responses report no problem. Guards against sending
// it non-idempotent requests in the next second.
TEST(Attempts, FailingUpstreamsAreAvoided) {
  Harness it{5};
  it.learnWorkTime();
  const CallId first = it.arrive();
  const UpstreamIndex faulty = it.firstSendOf(first).Upstream;
  it.respond(it.firstSendOf(first), ResponseKind::Invalid);
  for (int n = 0; n < 10; ++n) {
    it.advance(std::chrono::milliseconds{100});
    const CallId id = it.arrive(CallClass::NonIdempotent);
    EXPECT_NE(it.firstSendOf(id).Upstream, faulty);
    it.respond(it.firstSendOf(id), ResponseKind::Success);
  }
}

// Guards against requests that wait here, with more time than their process has: they would end
// with it and without an answer. What can't be done in time is refused at once.
TEST(Attempts, TheLatestDeadlineHoldsForAllRequests) {
  Harness harness{1};
  harness.learnWorkTime();
  RequestSpec spec = harness.spec(CallClass::NonIdempotent);
  spec.Objective = harness.Now + std::chrono::seconds{20};
  spec.Deadline = spec.Objective;
  const CallId running = harness.arrive(spec);
  ASSERT_EQ(harness.sendsOf(running).size(), 1U);
  harness.fillUpstreams();
  spec.Id = CallId{1001};
  const CallId queued = harness.arrive(spec);
  const TimePoint latest = harness.Now + std::chrono::seconds{1};
  BalanceCommands out;
  harness.Balancer.setLatestDeadline(latest, harness.Now, out);
  harness.handle(out);
  spec.Id = CallId{1002};
  const CallId later = harness.arrive(spec);
  harness.advance(std::chrono::milliseconds{950});
  EXPECT_EQ(harness.Refused.at(queued).Executed, Execution::NotRun);
  EXPECT_EQ(harness.Refused.at(later).Executed, Execution::NotRun);
  EXPECT_FALSE(harness.Refused.contains(running));
  harness.advance(std::chrono::milliseconds{60});
  EXPECT_EQ(harness.Refused.at(running).Executed, Execution::Unknown);
  spec.Id = CallId{1003};
  EXPECT_TRUE(harness.Refused.contains(harness.arrive(spec)));
}

} // namespace wigeonlift
