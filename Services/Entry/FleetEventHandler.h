#pragma once

#include "TaskMessages.h"

#include <LibMembership/LibMembership.h>

#include <functional>

namespace wigeonlift {

/// Logs the events of the fleet core and passes on what concerns the data task.
class FleetEventHandler {
public:
  explicit FleetEventHandler(std::function<void(DataTaskMessage)> toData)
      : ToData(std::move(toData)) {}

  void handle(const std::vector<FleetEvent> &events);

private:
  void handle(const CatalogueAccepted &event);
  void handle(const CatalogueRefused &event);
  void handle(const MemberChanged &event);
  void handle(const ReadersChanged &event);
  void handle(const PeerObserved &event);
  void handle(const ShareChanged &event);
  void handle(const PauseNoticed &event);
  void handle(const FleetSynchronized &event);

  std::function<void(DataTaskMessage)> ToData;
  /// Evidence of the events in progress, for one message to the data task.
  PeerEvidence Evidence;
};

} // namespace wigeonlift
