#pragma once

#include "TaskMessages.h"

#include <LibBase/LibBase.h>
#include <LibSettings/LibSettings.h>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace wigeonlift {

/// Asks the control task for its part of the state dump; the answer may come on any thread.
using ControlDump = std::function<void(std::function<void(std::string json)> done)>;

/// The task of the data path: callers, upstreams, dispatchers and tickets, on one thread.
class DataTask {
public:
  DataTask(const EntrySettings &settings, BootId boot,
           std::function<void(ControlTaskMessage)> toControl);
  /// Ends the thread at once. Callers see broken connections unless `stopGracefully` has ended.
  ~DataTask();
  DataTask(const DataTask &) = delete;
  DataTask &operator=(const DataTask &) = delete;

  /// Must be set before the start for the dump to hold the control task's part.
  void setControlDump(ControlDump dump);
  /// Binds the callers' and the operator's port and starts the thread. Fails with kUnavailable when
  /// an address can't be bound.
  absl::Status start();
  /// Ports that were bound; of use when port 0 was asked for.
  std::uint16_t callersPort() const;
  std::uint16_t operatorPort() const;

  /// Hands a message to the task, from any thread.
  void send(DataTaskMessage message);
  /// Leaves the list of entry VMs, keeps serving for the grace time and finishes what runs. The
  /// callback runs on the thread of the task.
  void stopGracefully(std::function<void()> done);

private:
  struct Parts;

  std::unique_ptr<Parts> Task;
};

} // namespace wigeonlift
