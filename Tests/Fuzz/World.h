#pragma once

#include <Tests/Fuzz/Stateful.h>

#include <LibCatalogue/LibCatalogue.h>
#include <LibDispatch/LibDispatch.h>
#include <LibHistory/LibHistory.h>
#include <LibTicket/LibTicket.h>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wigeonlift::test {

/// Three entry VMs with dispatcher, tickets and catalogue, four upstreams and their callers, in
/// virtual time. Messages are late, lost, doubled and reordered; VMs pause, restart without memory
/// and lose contact; lists and catalogues are stale. All events go to a history, which the checker
/// judges at the end.
class World {
public:
  static constexpr std::array<std::string_view, 34> Steps{
      "call",    "call",     "call",     "repeat", "write", "write",    "write",
      "arrive",  "arrive",   "arrive",   "reply",  "reply", "deliver",  "deliver",
      "deliver", "break",    "leave",    "probe",  "probe", "probe",    "probe",
      "answer",  "passTime", "passTime", "tick",   "tick",  "drain",    "list",
      "pause",   "restart",  "cut",      "ping",   "ping",  "catalogue"};

  World();
  void step(std::string_view name, Pick &pick);
  void finish();

private:
  static constexpr Duration CallDeadline = std::chrono::seconds{2};

  struct Vm {
    std::string Name;
    std::string Address;
    BootId Boot;
    TimePoint StartedAt{};
    /// Monotonic clocks of different processes can't be compared.
    Duration ClockOffset{};
    std::unique_ptr<DefaultDispatcher> Dispatch;
    std::unique_ptr<TicketTable> Tickets;
    CatalogueStore Store;
    Commands Out;
    bool IsPaused = false;
  };
  struct Upstream {
    std::string Name;
    bool IsDraining = false;
  };
  struct Operation {
    std::string Request;
    CallClass Class{};
    std::string Ticket;
    std::uint64_t Tries = 0;
  };
  /// A request of a caller that waits at a VM.
  struct Waiting {
    std::size_t Op = 0;
    std::uint64_t Try = 0;
  };
  struct RunningCall {
    std::size_t Op = 0;
    std::vector<Waiting> Callers;
    std::optional<TicketId> Ticket;
    std::optional<AttemptId> Relayed;
    Execution Executed{};
  };
  enum class Stage { Connecting, Sent, AtUpstream, Replied, HeadDelivered, Over };
  struct Exchange {
    std::size_t Vm = 0;
    BootId Boot;
    StartAttempt Start;
    std::size_t Op = 0;
    std::string Upstream;
    Stage At = Stage::Connecting;
    bool IsForgotten = false;
    bool MayHaveRun = false;
    ResponseHead Head;
  };
  enum class ProbeStage { Decided, Permitted, OnTheWire, Written };
  struct RunningProbe {
    std::size_t Vm = 0;
    BootId Boot;
    StartProbe Start;
    std::string Upstream;
    ProbeStage At = ProbeStage::Decided;
    LoadReport Report;
  };
  /// A ping and the evidence that comes back with its ack.
  struct PeerPing {
    std::size_t From = 0;
    std::size_t To = 0;
    BootId Boot;
    TimePoint SentAt{};
    bool IsAnswered = false;
    /// Upstream, age and report.
    std::vector<std::tuple<std::string, Duration, LoadReport>> Evidence;
  };

  void record(const std::string &writer, EventData data);
  TimePoint clockOf(const Vm &vm) const { return Now + vm.ClockOffset; }
  bool isCurrent(std::size_t vm, const BootId &boot) const { return Vms[vm].Boot == boot; }
  bool areCut(const std::string &one, const std::string &other) const;
  Upstream &upstreamNamed(const std::string &name);

  void start(std::size_t n);
  void restart(std::size_t n);
  void pauseOrResume(Vm &vm, bool noticesPause);
  void cutOrHeal(const std::string &one, const std::string &other);
  void drainOrReturn(Upstream &upstream);
  void giveList(Vm &vm, Pick &pick);
  void giveCatalogue(Vm &vm, Pick &pick);
  void passTime(Duration time) { Now += time; }
  void tick(std::size_t n);

  void callAnew(std::size_t n, Pick &pick);
  void send(std::size_t op, std::size_t n);
  void sendWithTicket(const Waiting &waiting, std::size_t n);
  void runCall(const Waiting &waiting, std::size_t n, std::optional<TicketId> ticket);
  void answer(const Waiting &waiting, AnswerEvent answer);
  void callerLeaves(std::size_t n, Pick &pick);
  void endCall(std::size_t n, CallId id, const AnswerEvent &answer);

  void obey(std::size_t n);
  void obeyCommand(std::size_t n, const StartAttempt &command);
  void obeyCommand(std::size_t n, const CancelAttempt &command);
  void obeyCommand(std::size_t n, const RelayResponse &command);
  void obeyCommand(std::size_t n, const FailCall &command);
  void obeyCommand(std::size_t n, const StartProbe &command);
  void obeyCommand(std::size_t, const AnnounceUpstreamDrain &) {}

  Exchange *findExchange(std::size_t n, AttemptId id);
  bool isReachable(const Exchange &it) const;
  void moveExchange(std::string_view name, Pick &pick);
  void write(Exchange &it);
  void arrive(Exchange &it, Pick &pick);
  void reply(Exchange &it, Pick &pick);
  void deliver(Exchange &it);
  void breakOff(Exchange &it, bool claimsUnsent);
  void moveProbe(RunningProbe &it, Pick &pick);
  void answerProbe(RunningProbe &it, bool hasFailed);
  void movePing(Pick &pick);
  void deliverPing(PeerPing &ping);

  LoadReport reportOf(const Upstream &upstream) const;
  void checkNothingIsLeft();

  TimePoint Now{std::chrono::hours{1}};
  std::uint64_t LastBoot = 0;
  std::uint64_t LastCall = 0;
  std::uint64_t ServiceVersion = 1;
  std::array<Vm, 3> Vms;
  std::array<Upstream, 4> Upstreams;
  std::deque<Operation> Operations;
  std::map<std::pair<std::size_t, CallId>, RunningCall> Calls;
  std::deque<Exchange> Exchanges;
  std::deque<RunningProbe> Probes;
  std::deque<PeerPing> Pings;
  std::set<std::pair<std::string, std::string>> Cuts;
  History Events;
};

/// The same world with little but probes, so that the measuring budget is used up.
class ProbingWorld : public World {
public:
  static constexpr std::array<std::string_view, 18> Steps{
      "tick",     "tick",     "tick",  "probe",  "probe",   "probe",
      "probe",    "probe",    "probe", "answer", "answer",  "answer",
      "passTime", "passTime", "list",  "pause",  "restart", "catalogue"};
};

} // namespace wigeonlift::test
