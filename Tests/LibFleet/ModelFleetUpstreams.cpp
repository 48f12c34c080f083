#include <Tests/LibFleet/ModelFleet.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace wigeonlift::test {

namespace {

constexpr Duration ms(int n) { return std::chrono::milliseconds{n}; }

constexpr TimePoint Begin{std::chrono::seconds{1000}};
constexpr TimePoint OutageFrom = Begin + ModelFleet::CalmStart;
constexpr int Upstreams = 12;
constexpr int LeavingBefore = 2;
constexpr int LeavingAfter = 2;
constexpr std::string_view KeyPrefix = "u";
constexpr std::string_view Service = "s";
// Upstreams whose leases ran out register again within this time.
constexpr Duration RenewalTime = ms(2000);
// How long before the outage, and after its end when the drain timeout holds again, some leave.
constexpr Duration LeavingSpan = ms(400);

/// The value of an item is how often it was written, and `d` if the upstream drains.
UpstreamRecord recordOf(const StoreItem &item) {
  return {.Id = item.Key,
          .StartedAtMs = 1,
          .Service = std::string{Service},
          .Address = "10.0.0.1:80",
          .DataCentre = "a",
          .Slots = 3,
          .IsDraining = item.Value.ends_with('d'),
          .WriteCount = std::strtoull(item.Value.c_str(), nullptr, 10)};
}

} // namespace

void ModelFleet::writeUpstream(const std::string &id) { write({.Key = id, .Value = "v"}); }

void ModelFleet::removeUpstream(const std::string &id) { write({.Key = id, .IsRemoved = true}); }

void ModelFleet::leave(const std::string &id) {
  removeUpstream(id);
  LeftAt[id] = Now;
}

void ModelFleet::planUpstreams() {
  const TimePoint back = OutageFrom + Options.StoreOutage;
  for (int n = 0; n < Upstreams; ++n) {
    const std::string id = std::string{KeyPrefix} + std::to_string(n);
    at(Begin + ms(n), [this, id] { writeUpstream(id); });
    if (n < LeavingBefore) {
      at(OutageFrom - between({}, LeavingSpan), [this, id] { leave(id); });
    } else if (n < LeavingBefore + LeavingAfter) {
      at(back + Options.StoreSettleTime + between({}, LeavingSpan), [this, id] { leave(id); });
    } else if (chance(0.5)) {
      Lapsed.push_back(id);
      at(OutageFrom + between({}, Options.StoreOutage), [this, id] { removeUpstream(id); });
      at(back + between({}, RenewalTime), [this, id] { writeUpstream(id); });
    }
  }
}

void ModelFleet::publish(Vm &vm, const ReplicaUpdate &update) {
  send(vm, update.Datagrams);
  applyEvacuations(vm, update);
  if (update.IsRestored)
    vm.List->didRestoreStore(clockOf(vm));
  for (const StoreItem &it : update.Changes) {
    if (!it.Key.starts_with(KeyPrefix))
      continue;
    if (it.IsRemoved)
      vm.List->didRemove(it.Key, update.removals(), clockOf(vm));
    else if (update.IsRestored)
      vm.List->didRestore(recordOf(it), clockOf(vm));
    else
      vm.List->didWrite(recordOf(it), clockOf(vm));
  }
}

void ModelFleet::checkUpstreams() {
  const TimePoint settled = OutageFrom + Options.StoreOutage + Options.StoreSettleTime;
  for (const auto &vm : Vms) {
    if (!Options.HasUpstreams || !vm->isRunning())
      continue;
    vm->List->applyDueRemovals(clockOf(*vm));
    for (const auto &[id, leftAt] : LeftAt) {
      const bool isDue = Now >= std::max(leftAt + Options.DrainTimeout, settled);
      if (!isDue || !isInTouch(*vm) || !vm->List->upstreams().contains(id))
        continue;
      std::ostringstream line;
      line << "VM " << vm->Index << " uses " << id << ' ' << toMilliseconds(Now - leftAt)
           << " ms after it left, at " << toMilliseconds(Now - Begin) << " ms, its removal "
           << (vm->List->nextRemovalDue() ? "being in doubt" : "not being known");
      Violations.push_back(line.str());
    }
    if (Now < settled - Options.StoreSettleTime || Now >= settled)
      continue;
    for (const std::string &id : Lapsed) {
      ++Samples;
      UsableSamples += vm->List->upstreams().contains(id) ? 1 : 0;
    }
  }
}

double ModelFleet::usableShare() const {
  return Samples == 0 ? 1 : static_cast<double>(UsableSamples) / Samples;
}

} // namespace wigeonlift::test
