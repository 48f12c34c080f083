#pragma once

#include <LibBalance/BalanceTypes.h>
#include <LibBalance/UpstreamView.h>
#include <LibBalance/WorkEstimate.h>

#include <LibBudget/LibBudget.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace wigeonlift {

/// Numbers for metrics, logs and the state dump.
struct BalanceCounts {
  std::uint64_t Requests = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t HedgeWins = 0;
  std::uint64_t Probes = 0;
  /// Probes that the rate did not allow, and repeats that the budget did not.
  std::uint64_t ProbesDenied = 0;
  std::uint64_t RepeatsDenied = 0;
  /// Probe answers of upstreams that were slow, and of others that had no easy slot.
  std::uint64_t ProbesOfSlow = 0;
  std::uint64_t ProbesOfFull = 0;
  std::uint64_t Refusals = 0;
  /// Attempts sent to an upstream whose last report said that it was slow.
  std::uint64_t SentToSlow = 0;
  /// Attempts sent to another data centre.
  std::uint64_t SentFar = 0;
};

/// How an attempt was chosen, for logs.
struct ChoiceFacts {
  UpstreamIndex Upstream;
  int Occupied = 0;
  int Slots = 0;
  double Slowness = 1;
  Duration ReportAge{};
  Duration Waited{};
  int Attempt = 1;
  bool IsHedge = false;
};

/// Decides to which upstream of a service each request goes, when it is repeated or refused, and
/// whose load is asked for. Performs no I/O: events are methods, and what must be done is appended
/// to the commands. Events of attempts that it has forgotten are ignored.
///
/// A request goes to an upstream whose load was reported within the last milliseconds. When no such
/// report shows a good one, a few upstreams are asked, and the request waits for their answers.
/// Requests that find no good upstream wait here and not in the upstreams' queues, the most urgent
/// first, and those that can't meet their objective any more last.
class ServiceBalancer {
public:
  ServiceBalancer(std::uint64_t seed, TimePoint startedAt);

  /// All upstreams that may get new work.
  void setUpstreams(std::span<const UpstreamFacts> upstreams, TimePoint now, BalanceCommands &out);
  void setRepeatBounds(double ratio, double allowance, Duration window);
  /// Probes a second that this VM may send to all upstreams of the service.
  void setProbeRate(double probesPerSecond, TimePoint now);

  void requestArrived(const RequestSpec &spec, TimePoint now, BalanceCommands &out);
  void callerLeft(CallId id, TimePoint now, BalanceCommands &out);

  /// Asked right before the first byte is handed to the kernel; from then on the attempt counts as
  /// sent. On false the shell puts the connection back unused.
  bool maySend(AttemptId id, TimePoint now, BalanceCommands &out);
  AnswerUse didAnswer(AttemptId id, const AnswerFacts &facts, TimePoint now, BalanceCommands &out);
  void attemptFailed(AttemptId id, AttemptStage stage, TimePoint now, BalanceCommands &out);

  void probeAnswered(ProbeId id, const LoadReport &report, TimePoint now, BalanceCommands &out);
  void probeFailed(ProbeId id, TimePoint now, BalanceCommands &out);
  /// Forgets reports from before a pause of this process.
  void didPause();

  void tick(TimePoint now, BalanceCommands &out);
  std::optional<TimePoint> nextWakeup() const;

  const BalanceCounts &counts() const { return Counts; }
  std::optional<ChoiceFacts> choice(AttemptId id) const;
  Duration typicalWork() const { return Work.mean(); }
  double typicalSlowness() const { return TypicalSlowness; }
  double repeatRoom(TimePoint now) const { return Repeats.remaining(now); }
  std::size_t queued() const { return Queue.size(); }
  std::size_t running() const { return Attempts.size(); }

private:
  struct Request {
    RequestSpec Spec;
    std::vector<UpstreamIndex> Tried;
    std::vector<AttemptId> Running;
    bool IsQueued = false;
    bool WantsHedge = false;
    /// Attempts that were written and are not known to have been rejected.
    int PossibleRuns = 0;
    int Rounds = 0;
    TimePoint HedgeAt = TimePoint::max();
  };
  struct Attempt {
    CallId Call;
    UpstreamIndex Upstream;
    TimePoint StartedAt{};
    double Slowness = 1;
    bool IsSent = false;
    bool IsHedge = false;
    bool IsRepeat = false;
    ChoiceFacts Choice;
  };
  struct Candidate {
    UpstreamView *View = nullptr;
    Duration Expected{};
    /// The expected time and what the way to the upstream and its failures cost.
    Duration Cost{};
  };

  // Placement.
  /// Trouble beyond what most upstreams have: when all fail alike, none is worse than the others.
  double excessTrouble(const UpstreamView &view, TimePoint now) const;
  void pump(TimePoint now, BalanceCommands &out);
  std::vector<CallId> inOrder(TimePoint now) const;
  /// False when the request waits on.
  bool place(Request &request, TimePoint now, BalanceCommands &out);
  std::optional<Candidate> best(const Request &request, TimePoint now);
  Candidate judge(UpstreamView &view, const Request &request, TimePoint now) const;
  bool mayUse(const UpstreamView &view, const Request &request, TimePoint now) const;
  bool isGood(const Candidate &candidate, const Request &request) const;
  bool isAcceptable(const Candidate &candidate, const Request &request, TimePoint now) const;
  void start(Request &request, const Candidate &candidate, TimePoint now, BalanceCommands &out);
  Duration work(const Request &request) const;
  bool isLate(const Request &request, TimePoint now) const;
  bool isHopeless(const Request &request, TimePoint now) const;

  // Probes.
  int askSome(const Request &request, TimePoint now, BalanceCommands &out);
  bool ask(UpstreamView &view, TimePoint now, BalanceCommands &out);
  bool hasProbesUnderWay() const;
  bool awaitsProbes(TimePoint now) const;
  /// When a request that waits may start another round, if nothing else happens.
  TimePoint nextRound() const;

  // Ends of attempts and requests.
  UpstreamView *view(UpstreamIndex index);
  void dropAttempt(AttemptId id);
  void requeue(Request &request);
  void settle(Request &request, FailureKind kind, TimePoint now, BalanceCommands &out);
  void refuse(Request &request, FailureKind kind, TimePoint now, BalanceCommands &out);
  void end(Request &request, BalanceCommands &out);
  bool mayRepeat(const Request &request, TimePoint now);
  void checkDeadline(Request &request, TimePoint now, BalanceCommands &out);
  void checkHedge(Request &request, TimePoint now, BalanceCommands &out);
  static TimePoint expectedEnd(const Attempt &attempt, Duration usual, double slowness,
                               TimePoint now);
  void armHedge(Request &request, const Candidate &candidate, TimePoint now);
  Duration retryAfter(const Request &request, FailureKind kind, TimePoint now) const;

  Random Rng;
  std::map<UpstreamIndex, UpstreamView> Upstreams;
  std::map<CallId, Request> Requests;
  std::set<CallId> Queue;
  std::map<AttemptId, Attempt> Attempts;
  std::map<ProbeId, UpstreamIndex> Probes;
  WorkEstimate Work;
  RepeatBudget Repeats;
  TokenBucket ProbeRate;
  /// Rounds of probes since the last one that brought a request to an upstream.
  int FruitlessRounds = 0;
  /// Queued requests that can still meet their objective.
  int TimelyQueued = 0;
  TimePoint RoundAt{};
  TimePoint NextRoundAt{};
  double MeanTrouble = 0;
  /// Mean of the factors by which upstreams were slower than usual.
  double TypicalSlowness = 1.5;
  std::uint64_t LastAttempt = 0;
  std::uint64_t LastProbe = 0;
  BalanceCounts Counts;
};

} // namespace wigeonlift
