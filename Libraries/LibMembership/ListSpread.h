#pragma once

#include <LibMembership/ListRow.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace wigeonlift {

/// Counters of a ListSpread since the start of the process.
struct ListSpreadCounters {
  std::uint64_t SentRows = 0;
  std::uint64_t ReceivedRows = 0;
  /// Received rows that changed what was known.
  std::uint64_t AppliedRows = 0;
  /// Received rows that were not certainly observed later than what was known.
  std::uint64_t OutdatedRows = 0;
  /// Reads whose changes were too many to spread.
  std::uint64_t UnspreadReads = 0;
};

/// The platform's VM list as this VM knows it by its own reads and by rows of its peers. The list
/// has no version and lags, so each row is dated: a row is replaced only by one that was certainly
/// observed later. Changes are spread to peers; all times are on the clock of this process.
class ListSpread {
public:
  /// Takes an answer of the platform. Rows that it lacks are removed, and kept for 10 minutes so
  /// that an older observation doesn't add them again. The first read and one that changes more
  /// than 64 rows are not spread.
  void didRead(const std::vector<ListRow> &rows, const ObservationSpan &observed,
               std::size_t fleetSize);
  /// Takes a row of a peer; true when it changes what was known. Rows are ignored before the first
  /// own read, because a part of the list must not pass for the whole.
  bool didHear(const ListRow &row, const ObservationSpan &observed, TimePoint now,
               std::size_t fleetSize);
  /// Up to 8 rows for a message: those that were sent least of the new ones or, in every fourth
  /// message without new ones, a recently changed row in turn, which repairs lost messages. No more
  /// than 16 rows a second.
  std::vector<ListNews> take(TimePoint now);

  /// Live and leaving rows.
  std::vector<ListRow> rows() const;
  std::size_t count(ListRowState state) const;
  /// Changes whenever a row does.
  std::uint64_t revision() const { return Revision; }
  const ListSpreadCounters &counters() const { return Counters; }

private:
  /// Role and name.
  using Key = std::pair<std::string, std::string>;
  struct Item {
    ListRow Row;
    ObservationSpan Observed;
  };
  /// A change that peers may lack.
  struct Change {
    TimePoint ChangedAt{};
    int SendsLeft = 0;
  };
  using Items = std::map<Key, Item>;

  std::vector<Key> applyRead(const std::vector<ListRow> &rows, const ObservationSpan &observed);
  void removeAbsent(const std::vector<ListRow> &rows, const ObservationSpan &observed,
                    std::vector<Key> &changed);
  void set(Item &item, const ListRow &row, const ObservationSpan &observed);
  ObservationSpan lastObserved(const Item *item) const;
  void addChange(const Key &key, TimePoint now, std::size_t fleetSize);
  void dropOldChanges(TimePoint now);
  void expire(TimePoint now);
  void dropOldestTombstones();
  std::vector<Key> nextKeys(TimePoint now);

  Items Known;
  /// The last own read. It is an observation of each row that it lacked too.
  ObservationSpan LastRead;
  std::map<Key, Change> Changes;
  bool HasRead = false;
  std::uint64_t Revision = 0;
  ListSpreadCounters Counters;
  TimePoint SecondBeganAt{};
  std::size_t RowsInSecond = 0;
  std::uint64_t Messages = 0;
  Key LastRepaired;
};

} // namespace wigeonlift
