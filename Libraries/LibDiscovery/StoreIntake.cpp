#include <LibDiscovery/StoreIntake.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace wigeonlift {

void StoreIntake::add(StoreItem item) {
  if (Format && !Format->reduce(item)) {
    ++Ignored;
    return;
  }
  addReduced(std::move(item));
}

void StoreIntake::addReduced(StoreItem item) {
  if (item.IsRemoved) {
    Unused.erase(item.Key);
    if (Kind == IntakeKind::Copy)
      return;
    ++Removals;
    addUsed(std::move(item));
    return;
  }
  if (Format && item.Service.empty())
    didConfigure(item);
  if (Unused.isUsed(item)) {
    addUsed(std::move(item));
    return;
  }
  Unused.insert(std::move(item));
  const std::size_t n = Unused.shed();
  LeftOut += n;
  HasLeftOut |= n > 0;
}

void StoreIntake::addUsed(StoreItem item) {
  ChangeBytes += sizeof(StoreItem) + item.Key.size() + item.Service.size();
  if (!item.Service.empty())
    ChangeBytes += item.Value.size();
  Used.push_back(std::move(item));
}

void StoreIntake::didConfigure(const StoreItem &configuration) {
  const auto services = Format->namedServices(configuration);
  if (!services)
    return;
  // Of the configurations that a watch brings at once only the last one counts.
  std::erase_if(Used, [&](const StoreItem &it) {
    return it.Key == configuration.Key && it.Revision < configuration.Revision;
  });
  for (const std::string &it : *services)
    // Entries that were left out before the configuration came may be of this service.
    IsLacking |= Unused.use(it) && HasLeftOut;
}

void StoreIntake::clear() {
  Used.clear();
  Unused.clear();
  ChangeBytes = 0;
  Removals = 0;
  Ignored = 0;
  LeftOut = 0;
  HasLeftOut = false;
  IsLacking = false;
}

void StoreIntake::setSenderState(bool hasLeftOut, bool isLacking) {
  HasLeftOut |= hasLeftOut;
  IsLacking |= isLacking;
}

StoreDelta StoreIntake::take(bool isComplete, StoreRevision asOf) {
  StoreDelta delta{.Items = std::move(Used),
                   .IsComplete = isComplete,
                   .AsOf = asOf,
                   .HasLeftOut = HasLeftOut,
                   .IsLacking = IsLacking};
  for (const auto &[key, item] : Unused.all())
    delta.Items.push_back(item);
  if (!isComplete)
    std::ranges::stable_sort(delta.Items, {}, &StoreItem::Revision);
  clear();
  return delta;
}

} // namespace wigeonlift
