#pragma once

#include <LibHistory/FaultTimeline.h>
#include <LibHistory/Verdict.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace wigeonlift {

/// Judges the catalogue events of one history.
class CatalogueJudge {
public:
  CatalogueJudge(const History &history, Duration allowed);

  void judge(Verdict &verdict);

private:
  /// Digests have one length, so their texts are ordered like their numbers.
  using Version = std::pair<std::uint64_t, std::string>;

  /// An incarnation of an entry daemon and its catalogue events in order.
  struct Vm {
    EntryLife Life;
    std::vector<const HistoryEvent *> Events;
  };

  static Version versionOf(const HistoryEvent &event);
  static bool isInEffect(const HistoryEvent &event);
  /// First event from which on the VM has the version or a newer one; null when there is none.
  static const HistoryEvent *firstWith(const Vm &vm, const Version &version, bool mustBeInEffect);
  static void judgeOrder(const Vm &vm, Verdict &verdict);

  void collectVms(const History &history);
  std::map<Version, const HistoryEvent *> acceptedVersions() const;
  void judgeSpread(const Version &version, const HistoryEvent &accepted, const Vm &vm,
                   Verdict &verdict);
  /// Earliest end of a span of the allowed length in which the VM could talk to one that has the
  /// version; the end of time when there is none.
  TimePoint deadlineOf(const Version &version, const Vm &vm) const;
  TimePoint undisturbedEnd(const Vm &source, const Vm &vm, TimePoint from) const;
  std::vector<Interval> disturbancesOf(const Vm &source, const Vm &vm) const;

  FaultTimeline Faults;
  std::vector<Vm> Vms;
  Duration Allowed;
  TimePoint HistoryEnd{};
  std::uint64_t Obligations = 0;
  std::uint64_t NotDue = 0;
};

} // namespace wigeonlift
