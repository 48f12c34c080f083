#pragma once

#include <LibBalance/BalanceTypes.h>
#include <LibBalance/PriorityAdmission.h>
#include <LibBalance/QueueForecast.h>
#include <LibBalance/ReturnSchedule.h>
#include <LibBalance/UpstreamLimits.h>
#include <LibBalance/UpstreamView.h>
#include <LibBalance/WorkEstimate.h>

#include <LibBudget/LibBudget.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace wigeonlift {

/// Counters for metrics, logs and the state dump.
struct BalanceCounts {
  std::uint64_t Requests = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t HedgeWins = 0;
  std::uint64_t Probes = 0;
  /// Times that the rate limit prevented a probe. A round of probes ends at the first.
  std::uint64_t ProbesDenied = 0;
  /// How often an exhausted retry budget prevented a retry or a check for a hedge. Does not include
  /// attempts that the budget stopped after they were placed, just before they were sent.
  std::uint64_t RetriesDenied = 0;
  /// Probe responses that reported a slow upstream.
  std::uint64_t SlowUpstreamProbes = 0;
  /// Probe responses of upstreams that were not slow but had reached their soft slot limit.
  std::uint64_t FullUpstreamProbes = 0;
  std::uint64_t Refusals = 0;
  /// Of the refusals, those of requests that gave way to more urgent ones.
  std::uint64_t RefusedByAdmission = 0;
  /// Of the refusals, those of requests that could not have started in time.
  std::uint64_t RefusedByForecast = 0;
  /// Attempts placed on an upstream whose estimated slowness was high.
  std::uint64_t SentToSlow = 0;
  /// Requests for which the distribution of work times called for a hedge.
  std::uint64_t ResidualHedges = 0;
  /// Attempts that counted as failures of their upstreams because a hedge responded before them.
  std::uint64_t OvertakenAttempts = 0;
  /// Attempts placed on an upstream in another data centre.
  std::uint64_t SentToOtherDataCentre = 0;
  /// Attempts placed on an upstream that names a rate limit.
  std::uint64_t SentToLimited = 0;
  /// Requests sent to a cold upstream whose rate is limited.
  std::uint64_t SentToCold = 0;
};

/// The state on which the choice of an upstream for an attempt was based, for logs.
struct ChoiceInfo {
  UpstreamIndex Upstream;
  int OutstandingRequests = 0;
  int Slots = 0;
  double Slowness = 1;
  /// Age of the load report.
  Duration ReportAge{};
  /// Time since the arrival of the request.
  Duration Waited{};
  /// Number of the attempt among those of its request, from 1.
  int Attempt = 1;
  bool IsHedge = false;
  /// Requests per second that the upstream accepts from the fleet; empty if it names no limit.
  std::optional<double> RateLimit{};
};

/// Selects the upstream for each request of a service, decides when a request is retried, hedged or
/// refused, and selects the upstreams to probe for their load. Performs no I/O: the I/O layer
/// reports events by calling methods, which append the commands to execute to `out`. Events of
/// attempts that the balancer no longer tracks are ignored.
///
/// A request is sent to an upstream whose load was reported a few milliseconds ago. When no
/// such report shows a good upstream, the balancer probes a few upstreams, and the request waits
/// for the responses. Requests without a good upstream are queued here instead of at the upstreams.
/// The queue is ordered by priority, with requests that can no longer meet their objective last.
/// While requests lack room, here or at other VMs, less urgent ones leave room to more urgent ones,
/// and new ones that can't start in time are refused (docs/design/priority-admission.md).
class ServiceBalancer {
public:
  ServiceBalancer(std::uint64_t seed, TimePoint startedAt);

  /// Replaces the set of upstreams that are eligible for new requests. `waiting` also applies to
  /// requests that are queued later, until the next call.
  void setUpstreams(std::span<const UpstreamInfo> upstreams, TimePoint now, BalanceCommands &out,
                    WaitingRequests waiting = WaitingRequests::PlaceAgain);
  /// Whether less urgent requests give way to more urgent ones, requests are refused by forecast,
  /// and those of callers that return are kept. On by default; off, overload is handled by the
  /// order of the queue only.
  void setOverloadControl(bool isEnabled);
  /// Limits the retries and hedges in each sliding window of length `window` to `allowance` plus
  /// the fraction `ratio` of the requests that arrived in it. The allowance applies only once one
  /// window has passed since the start time that the constructor was given.
  void setRetryBudget(double ratio, double allowance, Duration window);
  /// Sets how many probes per second this VM may send to all upstreams of the service together.
  void setProbeRate(double probesPerSecond, TimePoint now);

  /// Sets when the responses to all requests must have left, to those that are tracked and to later
  /// ones. Earlier deadlines of their own remain.
  void setLatestDeadline(TimePoint latest, TimePoint now, BalanceCommands &out);

  void requestArrived(const RequestSpec &spec, TimePoint now, BalanceCommands &out);
  void callerLeft(CallId id, TimePoint now, BalanceCommands &out);

  /// Called right before the first byte is passed to the kernel. If the result is true, the attempt
  /// counts as sent. Otherwise the I/O layer returns the unused connection to the pool.
  bool maySend(AttemptId id, TimePoint now, BalanceCommands &out);
  ResponseAction responseReceived(AttemptId id, const ResponseInfo &response, TimePoint now,
                                  BalanceCommands &out);
  void attemptFailed(AttemptId id, AttemptStage stage, TimePoint now, BalanceCommands &out);

  /// The upstream has read the large body of the last request that was sent to it, or the request
  /// has ended. Called once for each such request.
  void bodyTaken(UpstreamIndex upstream, TimePoint now, BalanceCommands &out);

  void probeAnswered(ProbeId id, const LoadReport &report, TimePoint now, BalanceCommands &out);
  void probeFailed(ProbeId id, TimePoint now, BalanceCommands &out);
  /// Sets which parts of the rate limits of upstreams this VM may use.
  void setShareAssignment(const ShareAssignment &assignment, TimePoint now);

  /// Limits the requests that the fleet sends to each cold upstream; a rate of 0 ends that.
  void setWarmup(double requestsPerSecond, const WarmupBounds &bounds, TimePoint now);
  /// Sets which parts of these rates this VM may use.
  void setWarmupAssignment(const ShareAssignment &assignment, TimePoint now);
  /// The entry of an upstream was written and says that the upstream is cold for so long. Ignored
  /// where requests to cold upstreams aren't limited.
  void warmupReported(UpstreamIndex upstream, std::uint64_t fleetKey, Duration remaining,
                      TimePoint now);

  /// Any response of an upstream arrived. Called before the event that the response belongs to.
  /// `fleetKey` identifies the upstream in the same way on all VMs. Returns whether the rate limit
  /// of the upstream changed.
  bool noticeReceived(UpstreamIndex upstream, std::uint64_t fleetKey, const UpstreamNotice &notice,
                      TimePoint now);
  /// An upstream that isn't listed wants nothing from this VM for so long. It may be listed again.
  void didAskToStayAway(std::uint64_t fleetKey, Duration duration, TimePoint now) {
    Limits.didAskToStayAway(fleetKey, duration, now);
  }
  /// An upstream is listed that wasn't a moment ago. Called before it is passed to `setUpstreams`.
  void upstreamListed(UpstreamIndex upstream, std::uint64_t fleetKey, TimePoint now) {
    Limits.didList(upstream, fleetKey, now);
  }
  /// The upstream has left. What its responses said is forgotten, apart from how long it wants
  /// nothing from this VM, as it may be listed again; `setUpstreams` only keeps requests from it.
  void upstreamLeft(UpstreamIndex upstream) { Limits.forget(upstream); }
  /// Another VM said whether requests of this service lack room there.
  void didHearShortage(std::uint32_t vm, const std::optional<Shortage> &shortage, TimePoint now);
  /// The most urgent requests that lack room at this VM, if any.
  std::optional<Shortage> shortage(TimePoint now) const;
  /// Discards the load reports and measurements from before a pause of this process, as they are
  /// out of date.
  void didPause();

  void tick(TimePoint now, BalanceCommands &out);
  std::optional<TimePoint> nextWakeup() const;

  const BalanceCounts &counts() const { return Counts; }
  const UpstreamLimits &limits() const { return Limits; }
  const PriorityAdmission &admission() const { return Admission; }
  std::optional<ChoiceInfo> choice(AttemptId id) const;
  Duration meanWorkTime() const { return WorkTimes.mean(); }
  double typicalSlowness() const { return TypicalSlowness; }
  double remainingRetries(TimePoint now) const { return RetryLimiter.remaining(now); }
  TimePoint latestDeadline() const { return LatestDeadline; }
  std::size_t queuedRequests() const { return Queue.size(); }
  std::size_t runningAttempts() const { return Attempts.size(); }
  std::size_t upstreamsReadingBodies() const { return ReadingBodies.size(); }

private:
  struct Request {
    RequestSpec Spec;
    std::vector<UpstreamIndex> TriedUpstreams;
    std::vector<AttemptId> RunningAttempts;
    bool IsQueued = false;
    /// Queued for a hedge while the first attempt still runs.
    bool WantsHedge = false;
    /// Was not refused when its admission was decided.
    bool IsAdmitted = false;
    /// Sent attempts that an upstream may have run. Attempts that are known not to have been run
    /// are subtracted.
    int PossibleExecutions = 0;
    /// Rounds of probes sent for the request since it was queued.
    int ProbeRounds = 0;
    /// When to check whether a hedge is needed.
    TimePoint HedgeAt = TimePoint::max();
  };
  struct Attempt {
    CallId Call;
    UpstreamIndex Upstream;
    TimePoint StartedAt{};
    /// Estimated slowness of the upstream at the start of the attempt.
    double Slowness = 1;
    /// Work done until `MeasuredAt`, as time at the usual speed, and the slowness at that time.
    Duration Work{};
    TimePoint MeasuredAt{};
    double MeasuredSlowness = 1;
    bool IsSent = false;
    bool IsHedge = false;
    /// A retry or a hedge.
    bool IsExtraAttempt = false;
    TakenRoom Room;
    ChoiceInfo Choice;
  };
  struct Candidate {
    UpstreamView *View = nullptr;
    /// Expected time to run the request at this upstream, given its slowness and its outstanding
    /// requests.
    Duration ExpectedTime{};
    /// Expected time plus penalties for distance and recent failures.
    Duration Cost{};
  };

  // Placement.
  /// Failure score above the mean of all upstreams. When all upstreams fail equally often, none of
  /// them is penalised.
  double excessFailureScore(const UpstreamView &view, TimePoint now) const;
  /// Tries to place all queued requests.
  void dispatchQueue(TimePoint now, BalanceCommands &out);
  /// Refuses the queued requests that have no running attempt, as there is no upstream for them.
  void refuseQueue(TimePoint now, BalanceCommands &out);
  bool refusesQueue() const { return Upstreams.empty() && Waiting == WaitingRequests::PlaceAgain; }
  /// The queued requests, sorted by the order in which they are placed.
  std::vector<CallId> sortedQueue(TimePoint now) const;
  /// Starts an attempt or refuses the request. Returns false when the request remains queued.
  /// `requestsAhead` is the number of those that remain queued before it.
  bool tryPlace(Request &request, std::size_t requestsAhead, TimePoint now, BalanceCommands &out);
  /// The eligible upstream with the lowest cost among those that have a fresh report and are below
  /// their soft slot limit.
  std::optional<Candidate> bestCandidate(const Request &request, TimePoint now);
  Candidate evaluate(UpstreamView &view, const Request &request, TimePoint now) const;
  /// Whether the request has a large body and the upstream has yet to read another.
  bool mustAwaitBody(UpstreamIndex upstream, const Request &request) const;
  bool isEligible(const UpstreamView &view, const Request &request, TimePoint now) const;
  /// Whether the cost is close to that of an idle upstream.
  bool isGood(const Candidate &candidate, const Request &request) const;
  /// Whether to use the candidate when probes have found no good one.
  bool isAcceptable(const Candidate &candidate, const Request &request, TimePoint now) const;
  void startAttempt(Request &request, const Candidate &candidate, TimePoint now,
                    BalanceCommands &out);
  Duration workTime(const Request &request) const;
  /// The request can no longer meet its objective.
  bool isLate(const Request &request, TimePoint now) const;
  /// When the rate limits of the upstreams first have room for the request, if it is known that
  /// this is too late for it.
  std::optional<TimePoint> roomIfTooLate(const Request &request, std::size_t requestsAhead,
                                         TimePoint now) const;
  /// The latest time at which an attempt for the request may start before the request is refused.
  TimePoint latestStart(const Request &request) const;

  // Overload.
  /// Waits for room for its first attempt.
  static bool isWaiting(const Request &request);
  /// Waits for longer than the probes take that find room.
  static bool lacksRoom(const Request &request, TimePoint now);
  /// A new request that can't start in time behind the requests ahead of it.
  bool isBeyondForecast(const Request &request, std::size_t requestsAhead, TimePoint now) const;
  /// Decides, once the request lacks room, whether it gives way to more urgent ones.
  bool givesWay(Request &request, TimePoint now);
  /// Whether the request is late and leaves a slot of each upstream free for requests at any VM
  /// that can be on time.
  bool leavesRoomToTimely(const Request &request, TimePoint now) const;
  /// Updates what is measured of the requests that wait.
  void observeQueue(TimePoint now);
  void didRejectForRoom(const Request &request, TimePoint now);

  // Probes.
  /// Starts a round of probes and returns their number.
  int sendProbes(const Request &request, TimePoint now, BalanceCommands &out);
  bool sendProbe(UpstreamView &view, TimePoint now, BalanceCommands &out);
  /// Finds out whether the limits that this VM has no share of are still in force.
  void recheckLimits(TimePoint now, BalanceCommands &out);
  bool hasProbesInFlight() const;
  bool isAwaitingProbes(TimePoint now) const;
  /// When a queued request may start the next round of probes if no other event occurs first.
  TimePoint nextProbeRound() const;

  // Outcomes of attempts and requests.
  UpstreamView *findUpstream(UpstreamIndex index);
  /// Takes over what is known about the warm-up of an upstream.
  void updateWarmupEnd(UpstreamIndex index);
  /// Takes the room that an attempt needs at its upstream when it is sent.
  bool takeRoom(Attempt &attempt, TimePoint now);
  void removeAttempt(AttemptId id);
  /// Removes an attempt that has not been sent and won't be. Queues its request again, or refuses
  /// it if `mayPlaceAgain` is false or the retry budget doesn't permit another attempt.
  void withdrawAttempt(AttemptId id, bool mayPlaceAgain, TimePoint now, BalanceCommands &out);
  /// Withdraws the attempts at removed upstreams that have not been sent.
  void withdrawFromRemovedUpstreams(TimePoint now, BalanceCommands &out);
  void requeue(Request &request);
  /// Refuses the request unless another of its attempts is still running.
  void refuseUnlessRunning(Request &request, FailureKind kind, TimePoint now, BalanceCommands &out);
  void refuse(Request &request, FailureKind kind, TimePoint now, BalanceCommands &out);
  void refuse(Request &request, FailureKind kind, Duration retryAfter, BalanceCommands &out);
  /// Refuses a request because the rate limits have no room for it before `roomAt`.
  void refuseForLimits(Request &request, TimePoint roomAt, TimePoint now, BalanceCommands &out);
  /// Counts the attempts that a hedge has overtaken, and that took much longer than the slowness of
  /// their upstreams explains, as failures of these.
  void noteOvertaken(const Request &request, TimePoint now);
  /// Removes the request and its remaining attempts. Aborts them unless they are non-idempotent and
  /// sent.
  void finishRequest(Request &request, BalanceCommands &out);
  /// Whether the attempt limit, the deadline and the retry budget permit a retry or a hedge.
  bool mayAttemptAgain(const Request &request, TimePoint now);
  /// Aborts all attempts of a request whose deadline has passed, and refuses it.
  void expireRequest(Request &request, TimePoint now, BalanceCommands &out);
  void checkHedge(Request &request, TimePoint now, BalanceCommands &out);
  /// Estimates when a running attempt finishes. Subtracts the work that is probably done, and
  /// assumes that the upstream does the rest at its current slowness.
  static TimePoint expectedEnd(const Attempt &attempt, Duration expectedWork, double slowness,
                               TimePoint now);
  /// Adds the sent attempts of a request that is about to end to the distribution of work times, as
  /// they would have taken longer than they have run.
  void addAbortedWork(const Request &request, TimePoint now);
  /// Adds the work that was probably done since the last measurement, if the upstream's slowness is
  /// now `slowness`.
  static void measureWork(Attempt &attempt, double slowness, TimePoint now);
  /// Work from which the rest of an attempt is expected to take longer than a new attempt.
  std::optional<Duration> hedgeableWork(const Request &request) const;
  /// Whether a new attempt is expected to end well before one that has done `work`, by the
  /// distribution of work times.
  bool canOvertake(const Request &request, Duration work, double slowness) const;
  /// The work after which an attempt of the request is overdue.
  Duration overdueWork(const Request &request) const;
  /// Whether overdue attempts of the request are hedged at that time: the distribution of its work
  /// isn't known yet, and the hedge would probably meet the objective.
  bool mayHedgeOverdue(const Request &request, TimePoint at) const;
  /// Sets when to check whether the request needs a hedge.
  void scheduleHedge(Request &request, const Candidate &candidate, TimePoint now);
  Duration retryAfter(const Request &request, FailureKind kind, TimePoint now);

  Random Rng;
  std::map<UpstreamIndex, UpstreamView> Upstreams;
  WaitingRequests Waiting = WaitingRequests::Keep;
  UpstreamLimits Limits;
  std::map<CallId, Request> Requests;
  std::set<CallId> Queue;
  std::map<AttemptId, Attempt> Attempts;
  /// Upstreams that have not yet read a large body.
  std::set<UpstreamIndex> ReadingBodies;
  std::map<ProbeId, UpstreamIndex> Probes;
  WorkEstimate WorkTimes;
  RepeatBudget RetryLimiter;
  TokenBucket ProbeRate;
  bool HasOverloadControl = true;
  PriorityAdmission Admission;
  QueueForecast Forecast;
  ReturnSchedule Returns;
  struct RoomRejection {
    TimePoint At;
    int Priority;
  };
  /// Rejections for lack of room in the last second.
  std::deque<RoomRejection> RoomRejections;
  TimePoint ShortageUpdatedAt{};
  /// Rounds of probes for any request since an attempt was last started.
  int UnsuccessfulProbeRounds = 0;
  /// Number of queued requests that could still meet their objective at the last dispatch.
  int TimelyQueued = 0;
  /// Start of the last round of probes.
  TimePoint ProbeRoundAt{};
  TimePoint NextProbeRoundAt{};
  double MeanFailureScore = 0;
  /// Moving average of the slowness that probe responses report.
  double TypicalSlowness = 1.5;
  TimePoint LatestDeadline = TimePoint::max();
  std::uint64_t LastAttemptId = 0;
  std::uint64_t LastProbeId = 0;
  BalanceCounts Counts;
};

} // namespace wigeonlift
