#pragma once

#include "TaskMessages.h"

#include <LibMembership/EntryRotation.h>

#include <string>
#include <unordered_map>
#include <vector>

namespace wigeonlift {

/// Answers the callers' question which entry VMs to use.
class EntryDirectory {
public:
  explicit EntryDirectory(std::string ownName);

  void setVms(const std::vector<EntryVm> &vms);
  /// This VM is stopping and is not named any more.
  void didLeave();
  /// Some VMs in order of use, as the JSON answer of `GET /wigeonlift/entries`.
  std::string answer();
  /// Callers' address of the incarnation with that boot id; null when it is not known to live.
  const std::string *addressOf(const BootId &boot) const;

private:
  void setCandidates();

  std::string OwnName;
  EntryRotation Rotation;
  std::vector<EntryVm> Vms;
  bool IsLeaving = false;
};

} // namespace wigeonlift
