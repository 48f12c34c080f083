#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wigeonlift {

/// An upstream that may get new work.
struct UpstreamInfo {
  /// Never used again for another incarnation while the process lives.
  UpstreamIndex Index;
  /// In the data centre of this VM.
  bool IsInLocalDataCentre = false;
  int Slots = 1;
  /// Until when the upstream is slow after its start.
  TimePoint WarmupEndsAt{};
};

/// A request as the balancer sees it.
struct RequestSpec {
  CallId Id;
  CallClass Class = CallClass::NonIdempotent;
  /// Requests of one kind take about the same work; a number of the caller's choice.
  std::uint32_t Kind = 0;
  TimePoint ArrivedAt{};
  /// The answer is of full use to the caller when it leaves by then.
  TimePoint Objective{};
  /// The final answer leaves by then.
  TimePoint Deadline{};
  /// 0 is the most urgent.
  int Priority = 0;
  int MaxAttempts = 1;
};

/// Asks the shell to send a request to an upstream.
struct SendRequest {
  AttemptId Attempt;
  CallId Call;
  UpstreamIndex Upstream;
};

/// Asks the shell to abandon an attempt and to close its connection. No event follows for it.
struct AbortAttempt {
  AttemptId Attempt;
};

/// Asks the shell for the load of an upstream.
struct SendProbe {
  ProbeId Probe;
  UpstreamIndex Upstream;
};

/// Asks the shell to answer with a failure. The balancer has forgotten the request.
struct RefuseRequest {
  CallId Call;
  Failure Reason;
};

using BalanceCommand = std::variant<SendRequest, AbortAttempt, SendProbe, RefuseRequest>;
using BalanceCommands = std::vector<BalanceCommand>;

/// What an upstream's answer to an attempt means.
enum class ResponseKind : std::uint8_t {
  Success,         ///< The upstream's own whole answer with a status of success.
  UpstreamFailure, ///< The upstream's own answer with another status; the request was run.
  NotRun,          ///< The upstream says that it did not run the request.
  Invalid,         ///< The bytes are no answer of the upstream, or not all of it.
};

struct ResponseInfo {
  ResponseKind Kind = ResponseKind::Invalid;
  std::optional<LoadReport> Load;
  /// Bytes of the body.
  std::size_t Bytes = 0;
};

/// What becomes of an answer.
enum class ResponseAction : std::uint8_t {
  Relay, ///< It goes to the caller; the balancer has forgotten the request.
  Drop,  ///< Another attempt decides, or the balancer has refused the request.
};

/// How far an attempt had come when it failed.
enum class AttemptStage : std::uint8_t {
  Unsent, ///< No byte of the request left this process.
  Sent,   ///< The upstream may have run the request.
};

} // namespace wigeonlift
