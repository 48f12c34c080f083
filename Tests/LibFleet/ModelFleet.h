#pragma once

#include <LibFleet/LibFleet.h>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace wigeonlift::test {

/// Added to all seeds, for further runs by hand.
std::uint64_t seedOffset();

struct ModelOptions {
  int Vms = 12;
  int DataCentres = 3;
  /// Time within which each VM in touch must know an acknowledged change.
  Duration ChangeDeadline = std::chrono::seconds{2};
  /// What is added to the deadline of changes while the store refuses some VMs.
  Duration RefusalStretch = std::chrono::seconds{5};
  /// Whether VMs lose power, freeze and are cut off.
  bool HasFaults = true;
  /// Whether links of VMs also lose or delay messages.
  bool HasLinkFaults = false;
  /// Whether the store refuses some VMs while it serves the others. The first VM is then spared by
  /// all faults, so that one that knows the changes can always be reached.
  bool HasRefusals = false;
  bool HasChanges = true;
  /// How long the store refuses all calls, from the end of the calm start on, or answers none.
  Duration StoreOutage{};
  bool IsOutageSilent = false;
  /// Whether upstreams are registered in the store. The leases of some run out in the outage, and
  /// they register again after it. Others leave shortly before the outage, or right when the drain
  /// timeout holds again after it.
  bool HasUpstreams = false;
  /// Whether the evacuation of a data centre is ordered in the calm start and lasts until the end.
  bool HasLastingEvacuation = false;
  /// Whether evacuations of other data centres are ordered and end beside the faults.
  bool HasEvacuations = false;
  /// Whether the store is restored from older copies, often twice in a row. Upstreams register,
  /// drain and leave before that, and write again what the store has lost, as the operator does.
  bool HasRestores = false;
  Duration DrainTimeout = std::chrono::seconds{2};
  Duration StoreSettleTime = std::chrono::seconds{3};
};

/// A fleet of VMs and a store that are connected by a simulated network. VMs run the code that
/// decides what they send and ask; one seed gives one run. VMs lose power, freeze and are cut off
/// from each other or from the store, in one or both directions, often within a second of a change.
/// Links lose messages or deliver them late.
///
/// A VM is in touch if for `SettleTime` its process ran, its link worked as usual, and it reached
/// the store in both directions.
/// Unless it has an outage, the store works all the time, so a VM in touch must know each change in
/// time, whatever happens to the other VMs.
class ModelFleet {
public:
  /// The fleet is calm for this long, so that all VMs know each other and have a copy of the store.
  static constexpr Duration CalmStart = std::chrono::seconds{8};

  ModelFleet(ModelOptions options, std::uint64_t seed);

  /// Simulates the whole run. Returns a line for each change that a VM in touch didn't know in
  /// time.
  std::vector<std::string> run();
  /// How many VMs, summed over all upstreams whose leases ran out, or whose entries a restore lost,
  /// and samples after the outage or the restore, knew the upstream as usable; as a fraction.
  double usableShare() const;
  /// Calls to the store in a span that begins `from` after the end of the calm start.
  int storeCalls(Duration from, Duration span) const;

private:
  struct Vm {
    int Index = 0;
    /// Counts starts and losses of power, so that events of an earlier process are recognized.
    int Generation = 0;
    /// Difference between the clock of the VM and that of the model.
    Duration ClockOffset{};
    std::unique_ptr<FleetReplica> Fleet;
    std::unique_ptr<StoreSync> Sync;
    std::unique_ptr<EvacuatedDataCentres> Evacuated;
    std::unique_ptr<UpstreamList> List;
    PeerReads Reads;
    bool IsCatchingUp = false;
    int Freezes = 0;
    /// What the process does when it wakes, in order.
    std::deque<std::function<void()>> Deferred;
    /// Cuts in force, by direction: to and from the store, to and from other VMs.
    std::array<int, 4> Cuts{};
    /// Faults of the VM's link: the part of the messages that is lost and what all are delayed by.
    double LinkLoss = 0;
    Duration LinkDelay{};
    /// Refusals of the store in force, and whether it answers nothing instead of an error.
    int Refusals = 0;
    bool IsIgnoredByStore = false;
    /// Faults in force that excuse the VM, and when the last one ended.
    int Excuses = 0;
    TimePoint ExcusedUntil{};
    StoreRevision LastReported = 0;
    StoreRevision LastReportedEvacuation = 0;
    /// Upstreams that the process has used, with the latest write of each that it knows, and those
    /// of them that it knows to have left or drain.
    std::map<std::string, std::uint64_t> Used;
    std::set<std::string> KnownGone;

    bool isRunning() const { return Fleet != nullptr; }
  };
  enum Direction { ToStore, FromStore, ToVms, FromVms };

  struct Event {
    TimePoint At;
    std::uint64_t Sequence;
    std::function<void()> Run;
    bool operator>(const Event &other) const {
      return std::pair{At, Sequence} > std::pair{other.At, other.Sequence};
    }
  };
  struct Change {
    StoreRevision Revision;
    TimePoint At;
  };
  struct OpenWatch {
    Vm *Owner;
    std::function<void()> Answer;
    bool IsAnswered = false;
  };
  /// Makes sure that either the answer of a call or its timeout is handled.
  using CallState = std::shared_ptr<bool>;

  Duration between(Duration least, Duration most);
  bool chance(double probability) { return Rng.unit() < probability; }
  /// Whether a datagram is lost on the links of its sender and its receiver.
  bool losesDatagram(const Vm &from, const Vm &to);
  /// Additional time that a message over a connection takes on the link of a VM, which sends it
  /// again until it arrives.
  Duration delayOnLink(const Vm &vm);
  void at(TimePoint time, std::function<void()> run);
  /// Runs something in a VM's process: not at all after it lost power, and later if it is frozen.
  void inVm(Vm &vm, Duration delay, std::function<void()> run);

  /// The present time on the clock of the VM.
  TimePoint clockOf(const Vm &vm) const { return Now + vm.ClockOffset; }
  void start(Vm &vm);
  void stop(Vm &vm);
  void tick(Vm &vm);
  void send(Vm &from, const std::vector<FleetDatagram> &datagrams);
  /// Sends the messages of an update and applies its changes to the list of upstreams.
  void publish(Vm &vm, const ReplicaUpdate &update);
  void receive(Vm &vm, const FleetMessage &message);
  void catchUp(Vm &vm);
  void pull(Vm &vm, VmAddress from);

  void syncWithStore(Vm &vm);
  void callStore(Vm &vm, const StoreCall &call);
  bool isStoreDown() const;
  void answerCall(Vm &vm, const StoreCall &call, const CallState &state);
  void respond(Vm &vm, const CallState &state, std::function<ReplicaUpdate()> take);
  void endCall(Vm &vm, const ReplicaUpdate &update);
  StoreDelta changesAfter(std::uint64_t number, bool isComplete) const;
  void change();

  /// What happens to the upstreams.
  void planUpstreams();
  void writeUpstream(const std::string &id);
  void removeUpstream(const std::string &id);
  /// Changes an item, or adds it, and tells those who watch.
  void write(StoreItem item);
  void leave(const std::string &id);
  void checkUpstreams();

  /// What happens to the evacuations.
  void planEvacuations();
  void writeEvacuation(const std::string &dataCentre, bool isOrdered);
  void applyEvacuations(Vm &vm, const ReplicaUpdate &update);
  void checkEvacuations();
  /// What happens to the store and the upstreams if it is restored from older copies.
  void planRestores();
  void writeState(const std::string &id);
  void restore();
  bool isRestoring() const { return Now < RestoringUntil; }
  void checkRestores();

  void planFaults(TimePoint from);
  void planFault(TimePoint begin);
  std::vector<Vm *> pickVictims();
  bool isSpared(const Vm &vm) const { return Options.HasRefusals && vm.Index == 0; }
  void beginExcuse(Vm &vm) { ++vm.Excuses; }
  void endExcuse(Vm &vm);
  void losePower(const std::vector<Vm *> &victims, TimePoint begin, Duration length);
  void freeze(const std::vector<Vm *> &victims, TimePoint begin, Duration length);
  void cut(const std::vector<Vm *> &victims, TimePoint begin, Duration length);
  void harmLinks(const std::vector<Vm *> &victims, TimePoint begin, Duration length);
  void refuse(TimePoint begin, Duration length);
  /// When each VM in touch must know a change.
  TimePoint dueTime(const Change &change) const;
  bool isInTouch(const Vm &vm) const;
  void check();

  Vm &vmAt(VmAddress address) { return *Vms[address - FirstAddress]; }

  static constexpr VmAddress FirstAddress = 0x0a000001U;

  ModelOptions Options;
  Random Rng;
  Random ClockRng;
  Random RestoreRng;
  TimePoint Now;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::uint64_t EventCount = 0;
  std::vector<std::unique_ptr<Vm>> Vms;
  std::vector<StoreItem> StoreItems;
  StoreRevision Revision = 1;
  std::vector<Change> Changes;
  /// When upstreams that left were removed.
  std::map<std::string, TimePoint> LeftAt;
  std::vector<std::string> Lapsed;
  struct EvacuationChange {
    Change Written;
    bool IsOrdered = false;
  };
  /// The latest beginning or end of each evacuation.
  std::map<std::string, EvacuationChange> Evacuations;
  int UsableSamples = 0;
  int Samples = 0;
  struct Span {
    TimePoint Begin;
    TimePoint End;
  };
  /// Copies of the store, of which later ones are restored.
  struct Copy {
    TimePoint At;
    std::vector<StoreItem> Items;
    std::uint64_t Number;
  };
  struct Upstream {
    std::uint64_t WriteCount = 0;
    bool IsDraining = false;
    bool HasLeft = false;
  };
  std::vector<Copy> Copies;
  std::map<std::string, Upstream> Registered;
  TimePoint RestoringUntil{};
  /// When the store was down to be restored.
  std::vector<Span> RestoreSpans;
  /// When the store refused some VMs, with the time after which it counts as stable again.
  std::vector<Span> RefusalSpans;
  std::vector<std::shared_ptr<OpenWatch>> Watches;
  std::vector<TimePoint> StoreCallTimes;
  std::vector<std::string> Violations;
};

} // namespace wigeonlift::test
