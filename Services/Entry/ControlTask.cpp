#include "ControlTask.h"

#include "ControlLoop.h"

#include <boost/asio/post.hpp>

#include <pthread.h>

#include <thread>

namespace wigeonlift {

/// The thread of a control task with its io_context.
class ControlTask::Thread {
public:
  Thread(const EntrySettings &settings, BootId boot, std::function<void(DataTaskMessage)> toData)
      : Loop(Context, settings, boot, std::move(toData)) {}

  absl::Status start() {
    if (absl::Status status = Loop.start(); !status.ok())
      return status;
    Worker = std::thread{[this] { Context.run(); }};
    // Lets tools tell the cost of control from that of calls.
    pthread_setname_np(Worker.native_handle(), "control");
    return absl::OkStatus();
  }

  template <typename Action> void post(Action action) {
    boost::asio::post(Context, std::move(action));
  }

  void stop() {
    if (!Worker.joinable())
      return;
    Context.stop();
    Worker.join();
  }

  boost::asio::io_context Context;
  ControlLoop Loop;
  std::thread Worker;
};

ControlTask::ControlTask(const EntrySettings &settings, BootId boot,
                         std::function<void(DataTaskMessage)> toData)
    : Runner(std::make_unique<Thread>(settings, boot, std::move(toData))) {}

ControlTask::~ControlTask() { stop(); }

absl::Status ControlTask::start() { return Runner->start(); }

void ControlTask::send(ControlTaskMessage message) {
  Runner->post([this, it = std::move(message)] { Runner->Loop.handle(it); });
}

void ControlTask::dump(std::function<void(std::string json)> done) {
  Runner->post([this, it = std::move(done)] { it(Runner->Loop.dump()); });
}

void ControlTask::stop() { Runner->stop(); }

} // namespace wigeonlift
