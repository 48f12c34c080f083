#pragma once

#include <LibBase/LibBase.h>

#include <string>
#include <vector>

namespace wigeonlift {

/// How one call ended for its caller, after all of its tries.
struct CallOutcome {
  CallClass Class = CallClass::Idempotent;
  bool IsDirect = false;
  Execution Executed = Execution::Unknown;
  std::string Failure;
  bool IsWarmUp = false;
  /// From the time at which the call was due.
  Duration Latency{};
  int Tries = 0;
  /// A response claimed to be the complete answer to this call, and it wasn't.
  bool IsWrong = false;
  /// The last response broke off, and the caller gave up.
  bool IsIncomplete = false;
  /// Entry VM of the last try.
  std::string Address;
  /// Ids of all requests of this call.
  std::vector<std::string> Requests;
  /// Ids of the requests that were answered as not run.
  std::vector<std::string> NotRunRequests;
};

} // namespace wigeonlift
