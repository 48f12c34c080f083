#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// What an upstream published about itself.
struct UpstreamRecord {
  std::string Id;
  /// Unix milliseconds of its start; tells incarnations with one id apart.
  std::uint64_t StartedAtMs = 0;
  std::string Service;
  /// `IP:PORT`.
  std::string Address;
  std::string DataCentre;
  int Slots = 1;
  bool IsDraining = false;
  /// How much longer the upstream stays slow after its start.
  Duration Warmup{};

  bool operator==(const UpstreamRecord &) const = default;
  bool isSameIncarnation(const UpstreamRecord &other) const {
    return StartedAtMs == other.StartedAtMs && Address == other.Address && Service == other.Service;
  }
};

/// What the removal of an entry may mean.
enum class RemovalKind : std::uint8_t {
  Final,
  /// Some VMs don't reach the store, so the entry may have lapsed; it is given a short while.
  PossibleLeaseExpiry,
  /// No VM reached the store, so the entry has probably lapsed.
  ProbableLeaseExpiry,
};

/// The upstreams of all services that take new work, by what the store says.
///
/// An upstream whose entry is removed leaves at once. The exception are entries that may have
/// lapsed while the store was out of reach: they leave when they are still missing after a while.
class UpstreamList {
public:
  /// An entry was written. Returns whether anything but the remaining warm-up changed.
  bool didWrite(UpstreamRecord record, TimePoint now);
  /// An entry was removed, or can't be read any more. Returns whether the upstream has left.
  bool didRemove(std::string_view id, RemovalKind removal, TimePoint now);
  /// Drops lapsed upstreams whose time is over. Returns whether any was dropped.
  bool applyDueRemovals(TimePoint now);
  std::optional<TimePoint> nextRemovalDue() const;

  const std::map<std::string, UpstreamRecord, std::less<>> &upstreams() const { return Upstreams; }
  /// Upstreams of a service that may get new work.
  std::vector<UpstreamRecord> usable(std::string_view service) const;

private:
  std::map<std::string, UpstreamRecord, std::less<>> Upstreams;
  /// Removed entries that may return, and until when.
  std::map<std::string, TimePoint, std::less<>> Lapsed;
};

} // namespace wigeonlift
