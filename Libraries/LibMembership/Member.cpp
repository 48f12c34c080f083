#include <LibMembership/Member.h>

#include <algorithm>

namespace wigeonlift {

bool Member::isFormer(const BootId &boot) const {
  const std::size_t known = std::min(FormerBootCount, FormerBoots.size());
  return std::find(FormerBoots.begin(), FormerBoots.begin() + known, boot) !=
         FormerBoots.begin() + known;
}

void Member::setBoot(const BootId &boot, bool isHeard) {
  if (HasBoot && isHeard)
    FormerBoots[FormerBootCount++ % FormerBoots.size()] = Info.Id.Boot;
  Info.Id.Boot = boot;
  Info.Id.Incarnation = 0;
  HasBoot = true;
  HasBeenHeard = false;
  Load = 0;
}

} // namespace wigeonlift
