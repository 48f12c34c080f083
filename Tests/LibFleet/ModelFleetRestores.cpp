#include <Tests/LibFleet/ModelFleet.h>

#include <algorithm>
#include <sstream>

namespace wigeonlift::test {

namespace {

constexpr Duration ms(int n) { return std::chrono::milliseconds{n}; }

constexpr TimePoint Begin{std::chrono::seconds{1000}};
constexpr TimePoint RestoresFrom = Begin + ModelFleet::CalmStart;
constexpr TimePoint End = Begin + std::chrono::seconds{26};
constexpr int Upstreams = 12;
// Upstreams that leave, that drain, and that register shortly before the restores or between them.
constexpr int Leaving = 4;
constexpr int Draining = 4;
constexpr int Registering = 2;
constexpr Duration CopyInterval = ms(100);
// What the store has lost is written again within this time.
constexpr Duration RewriteTime = ms(2000);

} // namespace

void ModelFleet::writeState(const std::string &id) {
  Upstream &it = Registered[id];
  if (it.HasLeft)
    return;
  if (isRestoring())
    return at(RestoringUntil, [this, id] { writeState(id); });
  write({.Key = id, .Value = std::to_string(++it.WriteCount) + (it.IsDraining ? "d" : "")});
}

void ModelFleet::planRestores() {
  const auto draw = [this](Duration least, Duration most) {
    return least + fromSeconds(toSeconds(most - least) * RestoreRng.unit());
  };
  for (TimePoint time = Begin; time < End; time += CopyInterval)
    at(time, [this] {
      if (!isRestoring())
        Copies.push_back({.At = Now, .Items = StoreItems, .Number = Revision.Number});
    });
  for (int n = 0; n < Upstreams; ++n) {
    const std::string id = "u" + std::to_string(n);
    const TimePoint time = RestoresFrom + draw({}, ms(6000));
    at(n < Registering ? time : Begin + ms(n), [this, id] { writeState(id); });
    if (n >= Registering && n < Registering + Leaving)
      at(time, [this, id] {
        Registered[id].HasLeft = true;
        removeUpstream(id);
      });
    else if (n >= Registering + Leaving && n < Registering + Leaving + Draining)
      at(time, [this, id] {
        Registered[id].IsDraining = true;
        writeState(id);
      });
  }
  TimePoint time = RestoresFrom + draw(ms(500), ms(6000));
  for (double next = 0; next < 0.5; next = RestoreRng.unit()) {
    at(time, [this] { restore(); });
    time += draw(ms(700), ms(3000));
  }
}

void ModelFleet::restore() {
  const auto draw = [this](Duration most) {
    return fromSeconds(toSeconds(most) * RestoreRng.unit());
  };
  const TimePoint copiedAt = Now - ms(200) - draw(ms(6000));
  const auto after = std::ranges::upper_bound(Copies, copiedAt, {}, &Copy::At);
  const Copy copy = *std::prev(after);
  const auto lost = std::ranges::count_if(Changes, [&](const Change &it) {
    return it.Revision.Era == Revision.Era && it.Revision.Number > copy.Number;
  });
  Revision = {Revision.Era + 1, copy.Number};
  StoreItems = copy.Items;
  for (StoreItem &it : StoreItems)
    it.Revision.Era = Revision.Era;
  RestoringUntil = Now + draw(ms(600));
  RestoreSpans.push_back({.Begin = Now, .End = RestoringUntil});
  Changes.push_back({.Revision = Revision, .At = RestoringUntil});
  for (const auto &watch : std::exchange(Watches, {}))
    watch->Answer();
  for (std::ptrdiff_t n = 0; n < lost; ++n)
    at(RestoringUntil + draw(RewriteTime), [this] { change(); });
  Lapsed.clear();
  for (const auto &[id, upstream] : Registered) {
    const auto item = std::ranges::find(StoreItems, id, &StoreItem::Key);
    const bool isListed = item != StoreItems.end() && !item->IsRemoved;
    if (!isListed && !upstream.HasLeft)
      Lapsed.push_back(id);
    // The leases of upstreams that have left expire again.
    if (upstream.HasLeft && isListed)
      at(RestoringUntil + ms(1000) + draw(ms(4000)), [this, id] { removeUpstream(id); });
    else if (!upstream.HasLeft)
      at(RestoringUntil + draw(RewriteTime), [this, id] { writeState(id); });
  }
}

void ModelFleet::checkRestores() {
  if (!Options.HasRestores)
    return;
  for (const auto &vm : Vms) {
    if (!vm->isRunning())
      continue;
    std::set<std::string> usable;
    for (const auto &[id, record] : vm->List->upstreams()) {
      if (!record.IsDraining)
        usable.insert(id);
      std::uint64_t &known = vm->Used[id];
      known = std::max(known, record.WriteCount);
    }
    for (const auto &[id, upstream] : Registered) {
      if (usable.contains(id) && vm->KnownGone.contains(id)) {
        std::ostringstream line;
        line << "VM " << vm->Index << " uses " << id << " again at " << toMilliseconds(Now - Begin)
             << " ms, write " << vm->List->upstreams().at(id).WriteCount << " of "
             << upstream.WriteCount << ", known " << vm->Used[id] << ", at revision "
             << vm->Fleet->revision().text();
        Violations.push_back(line.str());
      }
      // A VM that missed the latest write takes its entry in a restored copy for a new one.
      const auto known = vm->Used.find(id);
      const bool knowsLatest = known != vm->Used.end() && known->second == upstream.WriteCount;
      if (!usable.contains(id) && knowsLatest && (upstream.HasLeft || upstream.IsDraining))
        vm->KnownGone.insert(id);
    }
    const bool isAfterRestore =
        !RestoreSpans.empty() && Now < RestoreSpans.back().End + Options.StoreSettleTime;
    for (const std::string &id : Lapsed)
      if (isAfterRestore && isInTouch(*vm) && vm->Used.contains(id) && !Registered[id].IsDraining) {
        ++Samples;
        UsableSamples += usable.contains(id) ? 1 : 0;
      }
  }
}

} // namespace wigeonlift::test
