#pragma once

#include <LibBase/LibBase.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wigeonlift {

/// An upstream that is eligible for new requests.
struct UpstreamInfo {
  /// Identifies one incarnation of the upstream; not reused during the lifetime of this process.
  UpstreamIndex Index;
  /// Identifies this incarnation of the upstream in the same way on all VMs.
  std::uint64_t FleetKey = 0;
  bool IsInLocalDataCentre = false;
  int Slots = 1;
  /// The upstream is expected to be slow until then because it is cold.
  TimePoint WarmupEndsAt{};
};

/// What happens to requests that wait while the set of upstreams changes.
enum class WaitingRequests : std::uint8_t {
  /// Attempts at removed upstreams that wait for a connection are withdrawn, and their requests are
  /// placed again. If no upstream is left, all requests without a running attempt are refused.
  PlaceAgain,
  /// Attempts go on waiting and are stopped just before they would be sent. If no upstream is left,
  /// queued requests wait for a new one.
  Keep,
};

/// The properties of a request that placement, retries and hedging depend on.
struct RequestSpec {
  /// A larger body is sent to an upstream only when it has read the last one of this VM, since one
  /// that holds too many of them may run out of memory. This much fits in the buffer that the
  /// upstream's kernel starts with, so it isn't seen whether it was read.
  static constexpr std::size_t MaxSmallBodyBytes = std::size_t{64} * 1024;

  CallId Id;
  CallClass Class = CallClass::NonIdempotent;
  /// Groups requests that take about the same time. The I/O layer chooses the number.
  std::uint32_t Kind = 0;
  TimePoint ArrivedAt{};
  /// Latency objective of the route, from the first attempt of the caller.
  Duration TargetLatency{};
  /// A response that leaves by then is on time. Already past at the arrival of a request whose
  /// caller has waited for longer than the objective.
  TimePoint Objective{};
  /// The final response must leave by then, even if it is a failure.
  TimePoint Deadline{};
  /// 0 is the most urgent.
  int Priority = 0;
  /// Includes the first attempt, retries and hedges.
  int MaxAttempts = 1;
  std::size_t BodyBytes = 0;
  /// The caller has waited before, probably because an earlier attempt was rejected. It doesn't
  /// send the request again, so the request is kept as long as it can finish by its deadline.
  bool IsReturning = false;
};

/// Tells the I/O layer to send a request to an upstream.
struct SendRequest {
  AttemptId Attempt;
  CallId Call;
  UpstreamIndex Upstream;
};

/// Tells the I/O layer to abort an attempt and close its connection. The I/O layer reports no
/// further events for this attempt.
struct AbortAttempt {
  AttemptId Attempt;
};

/// Tells the I/O layer to query the load of an upstream.
struct SendProbe {
  ProbeId Probe;
  UpstreamIndex Upstream;
};

/// Tells the I/O layer to respond to the caller with a failure. The balancer no longer tracks the
/// request.
struct RefuseRequest {
  CallId Call;
  Failure Reason;
};

using BalanceCommand = std::variant<SendRequest, AbortAttempt, SendProbe, RefuseRequest>;
using BalanceCommands = std::vector<BalanceCommand>;

/// Classifies the response of an upstream to an attempt.
enum class ResponseKind : std::uint8_t {
  Success,           ///< A complete response from the upstream with a success status.
  UpstreamFailure,   ///< A complete response with another status; the upstream ran the request.
  MisleadingFailure, ///< The same, but callers take its status for a promise that the request did
                     ///< not run. Never sent to the caller.
  NotRun,            ///< The upstream states that it did not run the request.
  Invalid,           ///< Incomplete, or not a response from the upstream.
};

struct ResponseInfo {
  ResponseKind Kind = ResponseKind::Invalid;
  std::optional<LoadReport> Load;
  /// Size of the body.
  std::size_t Bytes = 0;
};

/// What the I/O layer does with a response.
enum class ResponseAction : std::uint8_t {
  /// Send it to the caller; the balancer no longer tracks the request.
  Relay,
  /// Discard it: the request is retried, has another running attempt, or is no longer tracked.
  Drop,
};

/// How far an attempt got before it failed.
enum class AttemptStage : std::uint8_t {
  Unsent, ///< No byte of the request left this process.
  Sent,   ///< The upstream may have run the request.
};

} // namespace wigeonlift
