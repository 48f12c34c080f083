#include <LibHistory/CatalogueJudge.h>

#include <fmt/format.h>

#include <algorithm>

namespace wigeonlift {

CatalogueJudge::CatalogueJudge(const History &history, Duration allowed)
    : Faults(history), Allowed(allowed) {
  collectVms(history);
  if (!history.Events.empty())
    HistoryEnd = history.Events.back().Time;
}

void CatalogueJudge::judge(Verdict &verdict) {
  for (const Vm &it : Vms)
    judgeOrder(it, verdict);
  for (const auto &[version, event] : acceptedVersions())
    for (const Vm &it : Vms)
      judgeSpread(version, *event, it, verdict);
  verdict.Figures = {{"vms", Vms.size()}, {"obligations", Obligations}, {"not_due", NotDue}};
}

CatalogueJudge::Version CatalogueJudge::versionOf(const HistoryEvent &event) {
  const auto &data = std::get<CatalogueEvent>(event.Data);
  return {data.Version, data.Digest};
}

bool CatalogueJudge::isInEffect(const HistoryEvent &event) {
  return std::get<CatalogueEvent>(event.Data).Step == CatalogueStep::InEffect;
}

const HistoryEvent *CatalogueJudge::firstWith(const Vm &vm, const Version &version,
                                              bool mustBeInEffect) {
  const auto it = std::ranges::find_if(vm.Events, [&](const HistoryEvent *event) {
    return versionOf(*event) >= version && (!mustBeInEffect || isInEffect(*event));
  });
  return it == vm.Events.end() ? nullptr : *it;
}

void CatalogueJudge::judgeOrder(const Vm &vm, Verdict &verdict) {
  const HistoryEvent *previous = nullptr;
  for (const HistoryEvent *it : vm.Events) {
    ++verdict.LookedAt;
    if (!isInEffect(*it))
      continue;
    if (previous && versionOf(*it) < versionOf(*previous))
      verdict.addViolation("a VM went back to an older catalogue", {*previous, *it});
    previous = it;
  }
}

void CatalogueJudge::collectVms(const History &history) {
  for (const EntryLife &it : Faults.entryLives())
    Vms.push_back({it, {}});
  history.forEach<CatalogueEvent>([&](const HistoryEvent &event, const CatalogueEvent &) {
    for (Vm &it : Vms)
      if (it.Life.Process == event.Writer && it.Life.Incarnation == event.Incarnation)
        it.Events.push_back(&event);
  });
}

std::map<CatalogueJudge::Version, const HistoryEvent *> CatalogueJudge::acceptedVersions() const {
  std::map<Version, const HistoryEvent *> accepted;
  for (const Vm &vm : Vms)
    for (const HistoryEvent *it : vm.Events) {
      const HistoryEvent *&first = accepted[versionOf(*it)];
      if (!first || it->Time < first->Time)
        first = it;
    }
  return accepted;
}

void CatalogueJudge::judgeSpread(const Version &version, const HistoryEvent &accepted, const Vm &vm,
                                 Verdict &verdict) {
  const TimePoint deadline = deadlineOf(version, vm);
  if (deadline > std::min(HistoryEnd, vm.Life.Alive.End)) {
    ++NotDue;
    return;
  }
  ++Obligations;
  const HistoryEvent *inEffect = firstWith(vm, version, true);
  if (inEffect && inEffect->Time <= deadline)
    return;
  std::vector<HistoryEvent> events{accepted};
  if (inEffect)
    events.push_back(*inEffect);
  verdict.addViolation(fmt::format("version {} is not in effect at {} in the allowed time",
                                   version.first, vm.Life.Process),
                       std::move(events));
}

TimePoint CatalogueJudge::deadlineOf(const Version &version, const Vm &vm) const {
  TimePoint deadline = TimePoint::max();
  for (const Vm &source : Vms)
    if (const HistoryEvent *has = firstWith(source, version, false))
      deadline = std::min(deadline, undisturbedEnd(source, vm, has->Time));
  return deadline;
}

TimePoint CatalogueJudge::undisturbedEnd(const Vm &source, const Vm &vm, TimePoint from) const {
  TimePoint begin = std::max(from, vm.Life.Alive.Begin);
  const std::vector<Interval> disturbances = disturbancesOf(source, vm);
  // Moving past one disturbance may run into an earlier one in the list, so it starts over.
  for (std::size_t n = 0; n < disturbances.size();) {
    const Interval &it = disturbances[n];
    if (!it.overlaps({begin, begin + Allowed})) {
      ++n;
      continue;
    }
    if (it.End == TimePoint::max())
      return TimePoint::max();
    begin = it.End;
    n = 0;
  }
  return begin + Allowed;
}

std::vector<Interval> CatalogueJudge::disturbancesOf(const Vm &source, const Vm &vm) const {
  std::vector<Interval> all = Faults.pausesOf(vm.Life.Process);
  if (&source == &vm)
    return all;
  const std::vector<Interval> &pauses = Faults.pausesOf(source.Life.Process);
  all.insert(all.end(), pauses.begin(), pauses.end());
  const std::vector<Interval> cuts = Faults.cutsBetween(source.Life.Process, vm.Life.Process);
  all.insert(all.end(), cuts.begin(), cuts.end());
  if (source.Life.Alive.End != TimePoint::max())
    all.push_back({source.Life.Alive.End, TimePoint::max()});
  return all;
}

} // namespace wigeonlift
