#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <map>
#include <optional>

namespace wigeonlift {

/// Decides how far the less urgent requests of a service are admitted while more urgent ones lack
/// room, at this VM or at others. The VMs that were heard lately are a sample of the fleet, so the
/// mean of their shortages is that of an average VM.
///
/// The admitted fraction of a priority falls in proportion to the shortage of more urgent ones, and
/// rises slowly, so that it doesn't follow each wave of requests. At a service with one priority
/// everything is admitted.
class PriorityAdmission {
public:
  /// Time for which the shortage that a VM reports counts. Three intervals of gossip, so that one
  /// lost message does not end it.
  static constexpr Duration ReportLifetime = std::chrono::milliseconds{1500};

  /// Another VM said whether it is short.
  void didHear(std::uint32_t vm, const std::optional<Shortage> &shortage, TimePoint now);
  void setOwnShortage(const std::optional<Shortage> &shortage) { OwnShortage = shortage; }
  /// A request of this priority arrived.
  void didArrive(int priority, TimePoint now);
  /// A request that had waited was sent to an upstream for the first time, or was rejected.
  void didDecide(int priority, bool hasStarted, TimePoint now);
  /// Adjusts the admitted fractions to the shortages.
  void update(TimePoint now);

  /// The fraction of the waiting requests to admit, from 0 to 1.
  double admittedFraction(int priority) const;
  /// Whether to admit the next waiting request. Spreads the admitted ones evenly.
  bool admit(int priority);
  /// The number of slots of an upstream that requests of this priority leave free for more urgent
  /// ones at other VMs. `fleetKey` identifies the upstream in the same way on all VMs.
  int slotsToLeaveFree(int priority, std::uint64_t fleetKey) const;
  /// Whether requests lack room at this VM or at others, at a service with several priorities.
  bool isShort() const;
  /// Whether far fewer of these requests start than of all requests. Their admitted fraction rises
  /// then, and they are queued like the most urgent.
  bool isStarved(int priority) const;
  /// The priority by which a request is queued.
  int queuePriority(int priority) const;
  /// Admitted fraction of each priority of which a request has arrived.
  std::map<int, double> admittedFractions() const;

private:
  struct Report {
    std::optional<Shortage> Lack;
    TimePoint HeardAt{};
  };
  struct PriorityState {
    double Admitted = 1;
    /// Fraction of a request by which more was admitted than the admitted fraction.
    double Excess = 0;
    /// Requests that started and that were rejected. Their weight decays exponentially.
    double Starts = 0;
    double Rejections = 0;
  };

  void decay(TimePoint now);
  /// Mean number of requests per heard VM that lack room and are more urgent than this priority.
  double lackOfMoreUrgent(int priority) const;
  /// Starts per second here of requests of this priority and less urgent ones.
  double startsFrom(int priority) const;
  void adjust(int priority, PriorityState &state, double elapsedSeconds) const;

  std::map<std::uint32_t, Report> Reports;
  std::optional<Shortage> OwnShortage;
  std::map<int, PriorityState> Priorities;
  /// Seconds in which the starts were counted, weighted as they are.
  double CountedSeconds = 0;
  TimePoint DecayedAt{};
  TimePoint AdjustedAt{};
};

} // namespace wigeonlift
