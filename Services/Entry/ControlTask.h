#pragma once

#include <LibSettings/LibSettings.h>

#include "TaskMessages.h"

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string>

namespace wigeonlift {

/// Keeps the catalogue, the member table and the upstream list of one entry daemon up to date. It
/// runs one thread with its own io_context and communicates with the data task by messages.
class ControlTask {
public:
  ControlTask(const EntrySettings &settings, BootId boot,
              std::function<void(DataTaskMessage)> toData);
  ~ControlTask();
  ControlTask(const ControlTask &) = delete;
  ControlTask &operator=(const ControlTask &) = delete;

  /// Binds the peer address and starts the thread. Fails with kInvalidArgument for an address that
  /// can't be parsed and with kUnavailable for one that can't be bound.
  absl::Status start();
  /// Hands over a message of the data task. May be called from any thread.
  void send(ControlTaskMessage message);
  /// Passes the state as a JSON object to `done`, which runs on the thread of this task.
  void dump(std::function<void(std::string json)> done);
  /// Ends the thread. No message is sent to the data task afterwards.
  void stop();

private:
  class Thread;
  std::unique_ptr<Thread> Runner;
};

} // namespace wigeonlift
