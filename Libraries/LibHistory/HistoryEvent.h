#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace wigeonlift {

// Each event lists its fields once, in `visitFields`; the writer and the parser both follow it.
// Names of processes and upstreams are those of the VM list. `Request` is the request id that the
// caller sends and that reaches the upstream. A caller uses one request id for all tries under one
// ticket and a new id for each new ticket; idempotent requests have a new id for each try.

enum class ProcessRole : std::uint8_t { Entry, Upstream, Caller };
/// Beginning or end of a state that lasts.
enum class Phase : std::uint8_t { Begun, Ended };

/// A process started. An entry daemon writes it first, so that a daemon that never gets a
/// catalogue is noticed.
struct StartEvent {
  static constexpr const char *Name = "start";
  std::string Process;
  ProcessRole Role{};
  /// `IP:PORT` for callers; empty for processes that nobody calls.
  std::string Address;
  void visitFields(auto &&visit) {
    visit("process", Process);
    visit("role", Role);
    visit("address", Address);
  }
  bool operator==(const StartEvent &) const = default;
};

/// A caller sends a request.
struct CallEvent {
  static constexpr const char *Name = "call";
  std::string Request;
  /// What the caller wants done at most once; the same for all request ids that it uses for it.
  std::string Operation;
  /// Counts the requests sent under one request id, from 0.
  std::uint64_t Try = 0;
  CallClass Class = CallClass::Idempotent;
  std::optional<std::string> Ticket;
  /// Address of the entry VM.
  std::string To;
  void visitFields(auto &&visit) {
    visit("request", Request);
    visit("operation", Operation);
    visit("try", Try);
    visit("class", Class);
    visit("ticket", Ticket);
    visit("to", To);
  }
  bool operator==(const CallEvent &) const = default;
};

/// Failures that a caller observes itself, beside the values of `Wigeonlift-Failure`.
inline constexpr const char *FailureNotConnected = "not-connected"; ///< Nothing was sent.
inline constexpr const char *FailureBroken = "broken";              ///< The connection broke off.
inline constexpr const char *FailureTimeout = "timeout";            ///< The caller stopped waiting.

/// How a request ended for its caller. Each call has at most one answer.
struct AnswerEvent {
  static constexpr const char *Name = "answer";
  std::string Request;
  std::uint64_t Try = 0;
  /// HTTP status; 0 when no response head arrived.
  std::uint64_t Status = 0;
  /// `Wigeonlift-Execution`; Unknown when there was no response.
  Execution Executed = Execution::Unknown;
  /// `Wigeonlift-Failure` or one of the names above; empty when the response came to its end.
  std::optional<std::string> Failure;
  /// The content is complete, as the caller checks it, whatever the framing says.
  bool IsWhole = false;
  /// The content belongs to this request, as far as any arrived.
  bool IsOwn = true;
  void visitFields(auto &&visit) {
    visit("request", Request);
    visit("try", Try);
    visit("status", Status);
    visit("execution", Executed);
    visit("failure", Failure);
    visit("whole", IsWhole);
    visit("own", IsOwn);
  }
  bool operator==(const AnswerEvent &) const = default;
};

/// An entry daemon hands an attempt to the kernel: `mayWrite` was granted.
struct DispatchEvent {
  static constexpr const char *Name = "dispatch";
  std::string Service;
  std::string Upstream;
  std::string Request;
  std::uint64_t Attempt = 0;
  CallClass Class = CallClass::Idempotent;
  void visitFields(auto &&visit) {
    visit("service", Service);
    visit("upstream", Upstream);
    visit("request", Request);
    visit("attempt", Attempt);
    visit("class", Class);
  }
  bool operator==(const DispatchEvent &) const = default;
};

/// An upstream starts to run a request of any class. A refused request has no such event.
struct WorkEvent {
  static constexpr const char *Name = "work";
  std::string Upstream;
  std::string Request;
  /// When the request arrived at the upstream.
  TimePoint ReceivedAt{};
  void visitFields(auto &&visit) {
    visit("upstream", Upstream);
    visit("request", Request);
    visit("received_ns", ReceivedAt);
  }
  bool operator==(const WorkEvent &) const = default;
};

/// An upstream ran a non-idempotent request.
struct EffectEvent {
  static constexpr const char *Name = "effect";
  std::string Upstream;
  std::string Request;
  void visitFields(auto &&visit) {
    visit("upstream", Upstream);
    visit("request", Request);
  }
  bool operator==(const EffectEvent &) const = default;
};

/// An entry daemon sends a probe, or opens a connection for one.
struct ProbeEvent {
  static constexpr const char *Name = "probe";
  std::string Service;
  std::string Upstream;
  void visitFields(auto &&visit) {
    visit("service", Service);
    visit("upstream", Upstream);
  }
  bool operator==(const ProbeEvent &) const = default;
};

/// An upstream begins to leave, or takes new work again.
struct DrainEvent {
  static constexpr const char *Name = "drain";
  std::string Upstream;
  Phase At{};
  void visitFields(auto &&visit) {
    visit("upstream", Upstream);
    visit("phase", At);
  }
  bool operator==(const DrainEvent &) const = default;
};

/// A graceful stop of an entry daemon or an upstream begins, or has ended.
struct StopEvent {
  static constexpr const char *Name = "stop";
  std::string Process;
  Phase At{};
  void visitFields(auto &&visit) {
    visit("process", Process);
    visit("phase", At);
  }
  bool operator==(const StopEvent &) const = default;
};

enum class CatalogueStep : std::uint8_t { Accepted, InEffect };

/// An entry daemon accepted a catalogue, or has put it into effect in all of its parts.
struct CatalogueEvent {
  static constexpr const char *Name = "catalogue";
  std::uint64_t Version = 0;
  /// 32 lower-case hexadecimal digits.
  std::string Digest;
  CatalogueStep Step{};
  void visitFields(auto &&visit) {
    visit("version", Version);
    visit("digest", Digest);
    visit("step", Step);
  }
  bool operator==(const CatalogueEvent &) const = default;
};

// Events of test scripts bracket the fault: the begin, or the kill, is written before the fault is
// caused, and the end after it is over.

/// A test script kills a process.
struct KillEvent {
  static constexpr const char *Name = "kill";
  std::string Process;
  void visitFields(auto &&visit) { visit("process", Process); }
  bool operator==(const KillEvent &) const = default;
};

/// A test script stops a process by SIGSTOP, or continues it.
struct PauseEvent {
  static constexpr const char *Name = "pause";
  std::string Process;
  Phase At{};
  void visitFields(auto &&visit) {
    visit("process", Process);
    visit("phase", At);
  }
  bool operator==(const PauseEvent &) const = default;
};

/// Two processes can't reach each other, in either direction. `*` stands for every other process.
struct PartitionEvent {
  static constexpr const char *Name = "partition";
  std::string One;
  std::string Other;
  Phase At{};
  void visitFields(auto &&visit) {
    visit("one", One);
    visit("other", Other);
    visit("phase", At);
  }
  bool operator==(const PartitionEvent &) const = default;
};

using EventData = std::variant<StartEvent, CallEvent, AnswerEvent, DispatchEvent, WorkEvent,
                               EffectEvent, ProbeEvent, DrainEvent, StopEvent, CatalogueEvent,
                               KillEvent, PauseEvent, PartitionEvent>;

/// One line of a history.
struct HistoryEvent {
  /// On CLOCK_MONOTONIC, so it is comparable between the processes of one machine.
  TimePoint Time{};
  std::string Writer;
  /// Tells the processes that used one name apart: when the writer opened its file.
  TimePoint Incarnation{};
  std::uint64_t Sequence = 0;
  EventData Data;

  bool operator==(const HistoryEvent &) const = default;
};

} // namespace wigeonlift
