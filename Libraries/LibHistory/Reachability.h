#pragma once

#include <LibHistory/FaultTimeline.h>

#include <set>
#include <string>

namespace wigeonlift {

/// Tells whether a VM could learn the state of an upstream, from it or through other VMs.
class Reachability {
public:
  explicit Reachability(const FaultTimeline &faults);

  /// Nothing that was learned of the upstream in the span that ends at `time` could have reached
  /// the VM by then. A VM that reached the upstream in the span can pass on what it learned later.
  bool wasIsolatedFor(Duration span, const std::string &vm, const std::string &upstream,
                      TimePoint time) const;

private:
  /// The VMs that know the upstream's state at that time: those that knew it before, that reach it
  /// or that reach another one of these.
  std::set<std::string> spread(const std::string &vm, const std::string &upstream, TimePoint time,
                               const std::set<std::string> &before) const;

  const FaultTimeline &Faults;
  /// When VMs began or ceased to live, or became able or unable to reach something.
  std::set<TimePoint> Changes;
};

} // namespace wigeonlift
