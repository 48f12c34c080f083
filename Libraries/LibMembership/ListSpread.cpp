#include <LibMembership/ListSpread.h>

#include <LibMembership/PeerMessage.h>

#include <algorithm>
#include <bit>
#include <set>

namespace wigeonlift {

namespace {

/// More changes in one read are not spread: thousands of rows would take all the traffic that
/// control may use.
constexpr std::size_t MaxChangesPerRead = 64;
constexpr std::size_t MaxChanges = 256;
constexpr std::size_t MaxRowsPerSecond = 16;
/// Changes are repeated for so long. Peers that miss all messages read the list themselves.
constexpr Duration RepairSpan = std::chrono::minutes{2};
constexpr std::uint64_t MessagesPerRepair = 4;
/// Longer than the longest interval in which an older observation can still arrive.
constexpr Duration TombstoneSpan = std::chrono::minutes{10};
constexpr std::size_t MaxTombstones = 1024;
constexpr std::size_t MaxRows = 20'000;
constexpr int MinSends = 2;

std::pair<std::string, std::string> keyOf(const ListRow &row) { return {row.Role, row.Name}; }

bool isRemoved(const ListRow &row) { return row.State == ListRowState::Removed; }

} // namespace

void ListSpread::didRead(const std::vector<ListRow> &rows, const ObservationSpan &observed,
                         std::size_t fleetSize) {
  const std::vector<Key> changed = applyRead(rows, observed);
  const bool isSpread = HasRead && changed.size() <= MaxChangesPerRead;
  Counters.UnspreadReads += HasRead && !isSpread ? 1 : 0;
  for (const Key &it : changed) {
    if (isSpread)
      addChange(it, observed.Latest, fleetSize);
    else
      Changes.erase(it);
  }
  HasRead = true;
  LastRead = observed;
  expire(observed.Latest);
}

std::vector<ListSpread::Key> ListSpread::applyRead(const std::vector<ListRow> &rows,
                                                   const ObservationSpan &observed) {
  std::vector<Key> changed;
  for (const ListRow &it : rows) {
    const auto [found, isNew] = Known.try_emplace(keyOf(it));
    Item &item = found->second;
    if (!isNew && observed.Earliest <= item.Observed.Latest)
      continue;
    if (isNew || item.Row != it)
      changed.push_back(found->first);
    set(item, it, observed);
  }
  removeAbsent(rows, observed, changed);
  return changed;
}

void ListSpread::removeAbsent(const std::vector<ListRow> &rows, const ObservationSpan &observed,
                              std::vector<Key> &changed) {
  std::set<std::pair<std::string_view, std::string_view>> present;
  for (const ListRow &it : rows)
    present.emplace(it.Role, it.Name);
  for (auto &[key, item] : Known) {
    // A tombstone keeps its date, so that it ends in time; `lastObserved` counts the read.
    if (present.contains({key.first, key.second}) || isRemoved(item.Row) ||
        observed.Earliest <= item.Observed.Latest)
      continue;
    ListRow row = item.Row;
    row.State = ListRowState::Removed;
    set(item, row, observed);
    changed.push_back(key);
  }
}

void ListSpread::set(Item &item, const ListRow &row, const ObservationSpan &observed) {
  if (item.Row != row) {
    ++Revision;
    item.Row = row;
  }
  item.Observed = observed;
}

ObservationSpan ListSpread::lastObserved(const Item *item) const {
  if (!item || (isRemoved(item->Row) && item->Observed.Latest < LastRead.Earliest))
    return LastRead;
  ObservationSpan observed = item->Observed;
  if (isRemoved(item->Row))
    observed.Latest = std::max(observed.Latest, LastRead.Latest);
  return observed;
}

bool ListSpread::didHear(const ListRow &row, const ObservationSpan &observed, TimePoint now,
                         std::size_t fleetSize) {
  if (!HasRead)
    return false;
  ++Counters.ReceivedRows;
  const Key key = keyOf(row);
  const auto found = Known.find(key);
  const bool isNew = found == Known.end();
  if (observed.Earliest <= lastObserved(isNew ? nullptr : &found->second).Latest) {
    Counters.OutdatedRows += isNew || found->second.Row != row ? 1 : 0;
    return false;
  }
  if (isNew && Known.size() >= MaxRows)
    return false;
  Item &item = Known[key];
  // A tombstone of a row that was never known here is not news, or it could circulate for ever.
  const bool isNews = item.Row != row && !(isNew && isRemoved(row));
  set(item, row, observed);
  if (!isNews)
    return false;
  ++Counters.AppliedRows;
  addChange(key, now, fleetSize);
  expire(now);
  return true;
}

void ListSpread::addChange(const Key &key, TimePoint now, std::size_t fleetSize) {
  if (Changes.size() >= MaxChanges && !Changes.contains(key))
    return;
  Changes[key] = {now, MinSends + static_cast<int>(std::bit_width(fleetSize))};
}

void ListSpread::dropOldChanges(TimePoint now) {
  std::erase_if(Changes, [&](const auto &it) { return now - it.second.ChangedAt > RepairSpan; });
}

void ListSpread::expire(TimePoint now) {
  dropOldChanges(now);
  std::erase_if(Known, [&](const auto &it) {
    return isRemoved(it.second.Row) && now - it.second.Observed.Latest > TombstoneSpan;
  });
  if (count(ListRowState::Removed) > MaxTombstones)
    dropOldestTombstones();
  std::erase_if(Changes, [&](const auto &it) { return !Known.contains(it.first); });
}

void ListSpread::dropOldestTombstones() {
  std::vector<std::pair<TimePoint, Key>> removed;
  for (const auto &[key, item] : Known)
    if (isRemoved(item.Row))
      removed.emplace_back(item.Observed.Latest, key);
  std::ranges::sort(removed);
  removed.resize(removed.size() - MaxTombstones);
  for (const auto &[observedAt, key] : removed)
    Known.erase(key);
}

std::vector<ListNews> ListSpread::take(TimePoint now) {
  if (now - SecondBeganAt >= std::chrono::seconds{1}) {
    SecondBeganAt = now;
    RowsInSecond = 0;
  }
  std::vector<ListNews> news;
  for (const Key &key : nextKeys(now)) {
    const Item &item = Known.at(key);
    const ObservationSpan observed = lastObserved(&item);
    news.push_back(
        {item.Row, now - observed.Earliest, std::max(Duration{}, now - observed.Latest)});
  }
  RowsInSecond += news.size();
  Counters.SentRows += news.size();
  return news;
}

std::vector<ListSpread::Key> ListSpread::nextKeys(TimePoint now) {
  dropOldChanges(now);
  std::vector<std::pair<int, Key>> order;
  for (const auto &[key, change] : Changes)
    if (change.SendsLeft > 0)
      order.emplace_back(-change.SendsLeft, key);
  std::ranges::sort(order);
  order.resize(std::min({order.size(), MaxListRowsPerMessage, MaxRowsPerSecond - RowsInSecond}));
  std::vector<Key> keys;
  for (const auto &[left, key] : order) {
    --Changes[key].SendsLeft;
    keys.push_back(key);
  }
  const bool isRepair = ++Messages % MessagesPerRepair == 0 && RowsInSecond < MaxRowsPerSecond;
  if (!keys.empty() || !isRepair || Changes.empty())
    return keys;
  auto next = Changes.upper_bound(LastRepaired);
  if (next == Changes.end())
    next = Changes.begin();
  LastRepaired = next->first;
  return {LastRepaired};
}

std::size_t ListSpread::count(ListRowState state) const {
  const auto isInState = [state](const auto &it) { return it.second.Row.State == state; };
  return static_cast<std::size_t>(std::ranges::count_if(Known, isInState));
}

std::vector<ListRow> ListSpread::rows() const {
  std::vector<ListRow> rows;
  for (const auto &[key, item] : Known)
    if (!isRemoved(item.Row))
      rows.push_back(item.Row);
  return rows;
}

} // namespace wigeonlift
