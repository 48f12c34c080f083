#pragma once

#include <LibCatalogue/LibCatalogue.h>
#include <LibMembership/PeerMessage.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace wigeonlift {

/// A catalogue came into effect.
struct CatalogueAccepted {
  std::shared_ptr<const Catalogue> Value;
  std::string Source;
  /// It replaces another document with the same version.
  bool IsConflict = false;
};
/// A catalogue was offered and not taken.
struct CatalogueRefused {
  enum class Cause : std::uint8_t { Invalid, Older, Conflict, WrongDigest };
  Cause Reason{};
  CatalogueVersion Version;
  std::string Source;
  DocumentErrors Errors;
};
/// A member changed its state or its incarnation.
struct MemberChanged {
  MemberUpdate Member;
};
/// The VMs that watch the configuration service in this data centre changed.
struct ReadersChanged {
  std::vector<std::string> Readers;
  bool IsSelf = false;
};
/// Evidence of a peer, dated by the clock of this process.
struct PeerObserved {
  std::string Service;
  std::string Upstream;
  TimePoint ObservedAt{};
  LoadReport Load;
};
/// The part of an entry's limits that may be used beside the static share; negative while lent.
struct ShareChanged {
  std::string Entry;
  double CallsPerSecond = 0;
  int InFlight = 0;
  TimePoint Until{};
};
/// This process did not run for some time.
struct PauseNoticed {
  Duration Length{};
};
/// The service and the peers were asked and a catalogue is in effect.
struct FleetSynchronized {
  std::size_t AnsweredPeers = 0;
};

using FleetEvent = std::variant<CatalogueAccepted, CatalogueRefused, MemberChanged, ReadersChanged,
                                PeerObserved, ShareChanged, PauseNoticed, FleetSynchronized>;

/// What a step of the fleet core asks of its shell.
struct FleetOutput {
  std::vector<OutgoingMessage> Messages;
  std::vector<FleetEvent> Events;
};

} // namespace wigeonlift
