#include <LibHistory/FaultTimeline.h>

#include <algorithm>

namespace wigeonlift {

namespace {

constexpr const char *AnyProcess = "*";

/// The same for both directions. A line feed is in no process name.
std::string pairName(const std::string &one, const std::string &other) {
  return std::min(one, other) + "\n" + std::max(one, other);
}

} // namespace

FaultTimeline::FaultTimeline(const History &history) {
  for (const HistoryEvent &it : history.Events) {
    if (const auto *start = std::get_if<StartEvent>(&it.Data)) {
      if (!start->Address.empty())
        ProcessByAddress[start->Address] = start->Process;
      if (start->Role == ProcessRole::Entry)
        addLife(it);
    } else if (std::holds_alternative<CatalogueEvent>(it.Data)) {
      addLife(it);
    } else if (const auto *stop = std::get_if<StopEvent>(&it.Data)) {
      endLives(stop->Process, it.Time);
    } else if (const auto *kill = std::get_if<KillEvent>(&it.Data)) {
      Kills[kill->Process].push_back(it.Time);
      endLives(kill->Process, it.Time);
    } else if (const auto *pause = std::get_if<PauseEvent>(&it.Data)) {
      if (pause->At == Phase::Begun)
        Pauses.begin(pause->Process, it.Time);
      else
        Pauses.end(pause->Process, it.Time);
    } else if (const auto *partition = std::get_if<PartitionEvent>(&it.Data)) {
      addPartition(it, *partition);
    }
  }
}

std::string FaultTimeline::processAt(const std::string &address) const {
  const auto it = ProcessByAddress.find(address);
  return it == ProcessByAddress.end() ? address : it->second;
}

const std::vector<Interval> &FaultTimeline::pausesOf(const std::string &process) const {
  return Pauses.of(process);
}

std::vector<Interval> FaultTimeline::cutsBetween(const std::string &one,
                                                 const std::string &other) const {
  std::vector<Interval> cuts;
  for (const std::string &name :
       {pairName(one, other), pairName(one, AnyProcess), pairName(other, AnyProcess)}) {
    const std::vector<Interval> &spans = Cuts.of(name);
    cuts.insert(cuts.end(), spans.begin(), spans.end());
  }
  return cuts;
}

bool FaultTimeline::areCut(const std::string &one, const std::string &other, TimePoint time) const {
  return one != other && std::ranges::any_of(cutsBetween(one, other),
                                             [&](const Interval &it) { return it.contains(time); });
}

bool FaultTimeline::wasKilledIn(const std::string &process, const Interval &span) const {
  const auto it = Kills.find(process);
  return it != Kills.end() &&
         std::ranges::any_of(it->second, [&](TimePoint time) { return span.contains(time); });
}

void FaultTimeline::addLife(const HistoryEvent &event) {
  const bool isKnown = std::ranges::any_of(EntryLives, [&](const EntryLife &it) {
    return it.Process == event.Writer && it.Incarnation == event.Incarnation;
  });
  if (isKnown)
    return;
  endLives(event.Writer, event.Time);
  EntryLives.push_back({event.Writer, event.Incarnation, {event.Time, TimePoint::max()}});
}

void FaultTimeline::endLives(const std::string &process, TimePoint time) {
  for (EntryLife &it : EntryLives)
    if (it.Process == process && it.Alive.End == TimePoint::max())
      it.Alive.End = time;
}

void FaultTimeline::addPartition(const HistoryEvent &event, const PartitionEvent &partition) {
  const std::string name = pairName(partition.One, partition.Other);
  if (partition.At == Phase::Begun)
    Cuts.begin(name, event.Time);
  else
    Cuts.end(name, event.Time);
  CutChanges.insert(event.Time);
}

} // namespace wigeonlift
