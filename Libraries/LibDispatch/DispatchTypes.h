#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace wigeonlift {

/// A call as the dispatcher sees it.
struct CallSpec {
  CallId Id;
  CallClass Class = CallClass::Idempotent;
  /// Position of the catalogue entry that admits the call.
  std::uint32_t Entry = 0;
  TimePoint Deadline{};
  /// Attempts that this level and all levels below may still add to the first one.
  int ExtraAttempts = 0;
};

/// An upstream of a service, as the platform's list names it.
struct UpstreamSpec {
  std::string Name;
  /// `IP:PORT`.
  std::string Address;
  std::string DataCentre;
  bool IsLeaving = false;

  bool operator==(const UpstreamSpec &) const = default;
};

/// Head of an upstream's response to an attempt.
struct ResponseHead {
  int HttpStatus = 0;
  /// The upstream says that this very request was not run.
  bool IsRefused = false;
  /// The upstream's own callee failed and must not be retried from here.
  bool IsDependencyFailure = false;
  std::optional<LoadReport> Load;
};

/// How far an attempt had come when it failed.
enum class FailureStage : std::uint8_t {
  BeforeWrite,   ///< No byte of the request reached the kernel's send path.
  AfterWrite,    ///< Some of the request may have reached the upstream.
  AfterResponse, ///< The response head arrived, its body broke off.
};

/// Asks the shell to send a call to an upstream. The shell calls `mayWrite` right before writing.
struct StartAttempt {
  AttemptId Attempt;
  CallId Call;
  UpstreamIndex Upstream;
  TimePoint Deadline{};
  /// Value for the `Wigeonlift-Extra-Attempts` header.
  int ExtraAttempts = 0;
  /// Only a connection that has answered recently, or a new one, may carry the request.
  bool NeedsProvenConnection = false;
  /// The attempt continues an export whose body broke off.
  bool IsResume = false;
};

/// Asks the shell to abandon an attempt and to close its connection. No event follows for it.
struct CancelAttempt {
  AttemptId Attempt;
};

/// Asks the shell to relay the response of an attempt to the caller.
struct RelayResponse {
  CallId Call;
  AttemptId Attempt;
  Execution Executed = Execution::Run;
};

/// Asks the shell to answer the caller with a failure. The dispatcher has forgotten the call.
struct FailCall {
  CallId Call;
  Failure Reason;
};

/// Asks the shell to probe an upstream. The shell calls `mayWriteProbe` right before writing and
/// `didWriteProbe` after it.
struct StartProbe {
  ProbeId Probe;
  UpstreamIndex Upstream;
};

/// Tells the shell, and through it the peers, that an upstream takes no new work.
struct AnnounceUpstreamDrain {
  UpstreamIndex Upstream;
};

using Command = std::variant<StartAttempt, CancelAttempt, RelayResponse, FailCall, StartProbe,
                             AnnounceUpstreamDrain>;
using Commands = std::vector<Command>;

/// Evidence about an upstream that this VM or a peer obtained from the upstream itself.
struct UpstreamEvidence {
  UpstreamIndex Upstream;
  /// No later than the instant at which the upstream gave the evidence.
  TimePoint ObservedAt{};
  LoadReport Load;
};

} // namespace wigeonlift
