#pragma once

#include "EntryHistory.h"
#include "EntryMetrics.h"
#include "PoolSet.h"
#include "TaskClock.h"
#include "TaskMessages.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>

namespace wigeonlift {

/// What the classes of the data task share. All of it is used on the thread of the task.
struct TaskParts {
  boost::asio::any_io_executor Executor;
  TaskClock Clock;
  PoolSet Pools;
  EntryMetrics Metrics;
  EntryHistory History;
  std::function<void(ControlTaskMessage)> ToControl;
};

} // namespace wigeonlift
