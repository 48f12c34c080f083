#pragma once

#include "ServiceTask.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace wigeonlift {

/// Follows a large request body until its upstream has taken all of it, and tells the service then,
/// or when this object is destroyed. Follows nothing for smaller bodies.
class BodyTransfer {
public:
  BodyTransfer(const boost::asio::any_io_executor &executor, std::shared_ptr<ServiceTask> service,
               const RunningAttempt &attempt);
  ~BodyTransfer();
  BodyTransfer(const BodyTransfer &) = delete;
  BodyTransfer &operator=(const BodyTransfer &) = delete;

  /// The kernel has all of the body. It may still wait for the upstream to read.
  void didWrite();

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace wigeonlift
