#include <Tests/LibFleet/ModelFleet.h>

#include <sstream>

namespace wigeonlift::test {

namespace {

constexpr Duration ms(int n) { return std::chrono::milliseconds{n}; }

constexpr TimePoint Begin{std::chrono::seconds{1000}};
constexpr TimePoint FaultsFrom = Begin + ModelFleet::CalmStart;
constexpr TimePoint LastChange = FaultsFrom + std::chrono::seconds{14};
constexpr std::string_view KeyPrefix = "evacuate/";

} // namespace

void ModelFleet::planEvacuations() {
  // Several data centres at once. Some orders last for less than the deadline.
  for (const std::string dataCentre : {"a", "b", "c"}) {
    bool isOrdered = false;
    for (TimePoint time = FaultsFrom + between({}, ms(2000)); time < LastChange;
         time += between(ms(300), ms(5000))) {
      isOrdered = !isOrdered;
      at(time, [this, dataCentre, isOrdered] { writeEvacuation(dataCentre, isOrdered); });
    }
  }
}

void ModelFleet::writeEvacuation(const std::string &dataCentre, bool isOrdered) {
  write({.Key = std::string{KeyPrefix} + dataCentre, .Value = "{}", .IsRemoved = !isOrdered});
  Evacuations[dataCentre] = {.Written = {.Revision = Revision, .At = Now}, .IsOrdered = isOrdered};
}

void ModelFleet::applyEvacuations(Vm &vm, const ReplicaUpdate &update) {
  for (const StoreItem &it : update.Changes) {
    if (!it.Key.starts_with(KeyPrefix))
      continue;
    const auto dataCentre = std::string_view{it.Key}.substr(KeyPrefix.size());
    if (it.IsRemoved)
      vm.Evacuated->didEnd(dataCentre, OrderRemoval::Removed, clockOf(vm));
    else
      vm.Evacuated->didOrder(dataCentre);
  }
}

void ModelFleet::checkEvacuations() {
  for (const auto &vm : Vms) {
    if (!isInTouch(*vm))
      continue;
    for (const auto &[dataCentre, it] : Evacuations) {
      if (Now < dueTime(it.Written) || vm->Evacuated->contains(dataCentre) == it.IsOrdered ||
          vm->LastReportedEvacuation == it.Written.Revision)
        continue;
      vm->LastReportedEvacuation = it.Written.Revision;
      std::ostringstream line;
      line << "VM " << vm->Index << " doesn't know that the evacuation of " << dataCentre
           << (it.IsOrdered ? " began" : " ended") << " at "
           << toMilliseconds(it.Written.At - Begin) << " ms, at " << toMilliseconds(Now - Begin)
           << " ms";
      Violations.push_back(line.str());
    }
  }
}

} // namespace wigeonlift::test
