#include "DataTask.h"

#include "DataPath.h"
#include "OperatorPort.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <thread>
#include <utility>

namespace wigeonlift {

struct DataTask::Parts {
  Parts(const EntrySettings &settings, BootId boot,
        std::function<void(ControlTaskMessage)> toControl)
      : Path(Context, settings, boot, std::move(toControl)), Operator(Context, Path) {}

  /// One thread runs the context; messages are posted from others.
  boost::asio::io_context Context{1};
  DataPath Path;
  OperatorPort Operator;
  std::thread Thread;
};

DataTask::DataTask(const EntrySettings &settings, BootId boot,
                   std::function<void(ControlTaskMessage)> toControl)
    : Task(std::make_unique<Parts>(settings, boot, std::move(toControl))) {}

DataTask::~DataTask() {
  Task->Context.stop();
  if (Task->Thread.joinable())
    Task->Thread.join();
}

void DataTask::setControlDump(ControlDump dump) { Task->Operator.setControlDump(std::move(dump)); }

absl::Status DataTask::start() {
  absl::Status status = Task->Path.start();
  if (status.ok())
    status = Task->Operator.start();
  if (status.ok())
    Task->Thread = std::thread{[this] { Task->Context.run(); }};
  return status;
}

std::uint16_t DataTask::callersPort() const { return Task->Path.callersPort(); }

std::uint16_t DataTask::operatorPort() const { return Task->Operator.port(); }

void DataTask::send(DataTaskMessage message) {
  boost::asio::post(Task->Context, [this, message = std::move(message)]() mutable {
    Task->Path.handle(std::move(message));
  });
}

void DataTask::stopGracefully(std::function<void()> done) {
  boost::asio::post(Task->Context, [this, done = std::move(done)]() mutable {
    Task->Path.stopGracefully(std::move(done));
  });
}

} // namespace wigeonlift
