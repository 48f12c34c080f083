#include "EntryDirectory.h"

#include "JsonText.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace wigeonlift {

EntryDirectory::EntryDirectory(std::string ownName)
    : OwnName(std::move(ownName)), Rotation(OwnName) {}

void EntryDirectory::setVms(const std::vector<EntryVm> &vms) {
  Vms = vms;
  setCandidates();
}

void EntryDirectory::didLeave() {
  IsLeaving = true;
  setCandidates();
}

std::string EntryDirectory::answer() {
  std::string list;
  for (const EntryCandidate &it : Rotation.choose()) {
    const auto vm = std::ranges::find(Vms, it.Address, &EntryVm::Address);
    if (vm != Vms.end())
      list +=
          fmt::format(R"({}{{"name":{},"address":{},"data_centre":{}}})", list.empty() ? "" : ",",
                      jsonText(vm->Name), jsonText(vm->Address), jsonText(vm->DataCentre));
  }
  return fmt::format(R"({{"lifetime_ms":{},"entries":[{}]}})",
                     toMilliseconds(EntryRotation::Lifetime), list);
}

const std::string *EntryDirectory::addressOf(const BootId &boot) const {
  const auto vm = std::ranges::find(Vms, boot, &EntryVm::Boot);
  return vm == Vms.end() ? nullptr : &vm->Address;
}

void EntryDirectory::setCandidates() {
  std::vector<EntryCandidate> candidates;
  for (const EntryVm &it : Vms)
    if (!IsLeaving || it.Name != OwnName)
      candidates.push_back({it.Name, it.Address, it.Load});
  Rotation.setCandidates(candidates);
}

} // namespace wigeonlift
