#pragma once

#include <LibCatalogue/LibCatalogue.h>
#include <LibDispatch/DispatchTypes.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace wigeonlift {

/// Evidence about an upstream with names in place of table positions, for peers.
struct NamedEvidence {
  std::string Service;
  std::string Upstream;
  TimePoint ObservedAt{};
  LoadReport Load;
};

/// An entry VM that callers may be sent to.
struct EntryVm {
  std::string Name;
  BootId Boot;
  /// `IP:PORT` for callers.
  std::string Address;
  std::string DataCentre;
  /// Callers and calls that it reported last.
  int Load = 0;
};

// Messages from the control task to the data task.

struct CatalogueChanged {
  std::shared_ptr<const Catalogue> Value;
};
/// All upstreams of one service by the latest list.
struct UpstreamsChanged {
  std::string Service;
  std::vector<UpstreamSpec> Upstreams;
};
/// Live entry VMs, this one included.
struct EntryVmsChanged {
  std::vector<EntryVm> Vms;
};
struct PeerEvidence {
  std::vector<NamedEvidence> Items;
};
/// Part of a fleet-wide limit that this VM may use from now until the given time, in addition to
/// or (if negative) less than its static share.
struct LimitShareChanged {
  std::string Entry;
  double CallsPerSecond = 0;
  int InFlight = 0;
  TimePoint Until{};
};
/// The control task has asked the platform and peers; calls may be served.
struct Synchronized {};

using DataTaskMessage = std::variant<CatalogueChanged, UpstreamsChanged, EntryVmsChanged,
                                     PeerEvidence, LimitShareChanged, Synchronized>;

// Messages from the data task to the control task.

/// Evidence for peers. Draining is passed on at once, the rest with heartbeats.
struct LocalEvidence {
  std::vector<NamedEvidence> Items;
};
/// How much of this VM is in use.
struct LocalLoad {
  int Callers = 0;
  int Calls = 0;
};
/// How much of an entry's share is in use on this VM.
struct LimitDemand {
  std::string Entry;
  double CallsPerSecond = 0;
  int InFlight = 0;
  /// Calls refused for this limit since the last message.
  std::uint64_t Refused = 0;
  /// Calls that wait for the rate of the entry.
  int Waiting = 0;
};
/// A share is in effect; so many calls of its entry are in progress.
struct LimitShareApplied {
  LimitShareChanged Share;
  int InFlight = 0;
};
/// The process was stopped for a while: what the task knows of others is that old.
struct Paused {
  Duration Length{};
};
/// The daemon is stopping: leave the list of entry VMs.
struct Leaving {};

using ControlTaskMessage =
    std::variant<LocalEvidence, LocalLoad, LimitDemand, LimitShareApplied, Paused, Leaving>;

} // namespace wigeonlift
