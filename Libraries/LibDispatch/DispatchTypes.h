#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace wigeonlift {

/// The properties of a call that the dispatcher needs.
struct CallSpec {
  CallId Id;
  CallClass Class = CallClass::Idempotent;
  /// Position of the catalogue entry that admits the call.
  std::uint32_t Entry = 0;
  TimePoint Deadline{};
  /// Attempts that this service and all services below it in the call tree may add to the first.
  int ExtraAttempts = 0;
};

/// An upstream of a service in the platform's list.
struct UpstreamSpec {
  std::string Name;
  /// `IP:PORT`.
  std::string Address;
  std::string DataCentre;
  bool IsLeaving = false;

  bool operator==(const UpstreamSpec &) const = default;
};

/// The parts of a response head that the dispatcher needs.
struct ResponseHead {
  int HttpStatus = 0;
  /// The upstream states that it did not run this request.
  bool IsRefused = false;
  /// The response reports the failure of a call that the upstream itself made. This level must not
  /// retry, because retries would otherwise multiply across the levels of the call tree.
  bool IsDependencyFailure = false;
  std::optional<LoadReport> Load;
};

/// The progress of an attempt at the time of its failure.
enum class FailureStage : std::uint8_t {
  BeforeWrite,   ///< No byte of the request was handed to the kernel.
  AfterWrite,    ///< Part of the request may have reached the upstream.
  AfterResponse, ///< The response head arrived; the body was cut off.
};

/// Asks the I/O layer to send a call to an upstream. The I/O layer calls `mayWrite` immediately
/// before writing.
struct StartAttempt {
  AttemptId Attempt;
  CallId Call;
  UpstreamIndex Upstream;
  TimePoint Deadline{};
  /// Value for the `Wigeonlift-Extra-Attempts` header.
  int ExtraAttempts = 0;
  /// The request must use a new connection, or one that has recently carried a response.
  bool NeedsProvenConnection = false;
  /// The attempt continues an export whose body was cut off.
  bool IsResume = false;
};

/// Asks the I/O layer to abort an attempt and close its connection. The I/O layer reports no
/// further event for this attempt.
struct CancelAttempt {
  AttemptId Attempt;
};

/// Asks the I/O layer to relay the response of an attempt to the caller.
struct RelayResponse {
  CallId Call;
  AttemptId Attempt;
  Execution Executed = Execution::Run;
};

/// Asks the I/O layer to send the caller a failure. The dispatcher has removed the call.
struct FailCall {
  CallId Call;
  Failure Reason;
};

/// Asks the I/O layer to probe an upstream. The I/O layer calls `mayWriteProbe` immediately before
/// writing and `didWriteProbe` afterwards.
struct StartProbe {
  ProbeId Probe;
  UpstreamIndex Upstream;
};

/// Asks the I/O layer to tell the peers that an upstream accepts no new work.
struct AnnounceUpstreamDrain {
  UpstreamIndex Upstream;
};

using Command = std::variant<StartAttempt, CancelAttempt, RelayResponse, FailCall, StartProbe,
                             AnnounceUpstreamDrain>;
using Commands = std::vector<Command>;

/// A load report that this VM or a peer received directly from the upstream.
struct UpstreamEvidence {
  UpstreamIndex Upstream;
  /// A time no later than the one at which the upstream sent the report, such as when the request
  /// was written.
  TimePoint ObservedAt{};
  LoadReport Load;
};

} // namespace wigeonlift
