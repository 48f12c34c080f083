#pragma once

#include "TaskMessages.h"

#include <LibPlatform/LibPlatform.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace wigeonlift {

/// Turns the platform's list into messages to the data task and leaves out what has not changed.
class ListPublisher {
public:
  explicit ListPublisher(std::function<void(DataTaskMessage)> toData) : ToData(std::move(toData)) {}

  /// Publishes the upstreams of each service whose upstreams have changed. A service that the list
  /// no longer names gets an empty table.
  void didReadList(const VmList &list);
  std::size_t upstreams() const;
  const std::map<std::string, std::vector<UpstreamSpec>> &services() const { return Services; }

private:
  std::function<void(DataTaskMessage)> ToData;
  std::map<std::string, std::vector<UpstreamSpec>> Services;
};

} // namespace wigeonlift
