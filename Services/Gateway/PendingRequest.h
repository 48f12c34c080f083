#pragma once

#include "BodyMemory.h"
#include "ProxiedRequest.h"
#include "ServiceTask.h"

#include <LibPipeline/LibPipeline.h>

#include <boost/beast/http/verb.hpp>

#include <memory>
#include <optional>
#include <string_view>

namespace wigeonlift {

/// An answer of this VM to a request that it doesn't pass on.
struct Rejection {
  int Status = 0;
  std::string_view Why;
  /// When the caller may come back; zero when that would not help.
  Duration RetryAfter{};
};

/// A request that has been read from a caller and not yet answered.
struct PendingRequest {
  boost::beast::http::verb Method = boost::beast::http::verb::get;
  /// The request and its service; null when it is rejected.
  std::shared_ptr<ProxiedRequest> Request;
  std::shared_ptr<ServiceTask> Service;
  std::optional<Rejection> Rejected;
  BodyMemory::Reservation Body;
  /// For an answer that may have to wait for earlier ones.
  BodyMemory::Reservation HeldAnswer;
  /// The caller asked for a close, or the end of the request is not known.
  bool EndsConnection = false;

  PipelineMode mode() const {
    const bool isConcurrent = !Request || Request->Spec.Class == CallClass::Idempotent;
    return isConcurrent ? PipelineMode::Concurrent : PipelineMode::Exclusive;
  }
};

} // namespace wigeonlift
