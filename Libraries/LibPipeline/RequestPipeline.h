#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace wigeonlift {

/// Position of a request on its connection, from 1.
enum class PipelinePosition : std::uint64_t {};

/// Whether a request may run at the same time as its neighbours on the connection.
enum class PipelineMode : std::uint8_t {
  Concurrent,
  /// Runs when all earlier requests have been answered, and later ones wait for its response.
  Exclusive,
};

/// Bounds of the requests that one connection may have read and not yet answered.
struct PipelineLimits {
  std::size_t MaxUnanswered = 32;
  /// Requests that run or whose responses wait for their turn.
  std::size_t MaxStarted = 16;
  /// Bytes of the bodies of unanswered requests at which no further request is read.
  std::size_t BodyBytes = std::size_t{1024} * 1024;
};

/// Decides the order of pipelined requests on one connection: which may be read and which may
/// start. Responses are written in the order of the requests (RFC 9112, 9.3.2). Performs no I/O.
class RequestPipeline {
public:
  explicit RequestPipeline(const PipelineLimits &limits = {}) : Limits(limits) {}

  /// Whether the next request may be read.
  bool mayRead() const;
  PipelinePosition add(PipelineMode mode, std::size_t bodyBytes);
  /// Marks the requests that may start now as started and returns them in their order. Pass
  /// `mayOvertake` = false to start a request only if it is the first unanswered one.
  std::vector<PipelinePosition> takeStartable(bool mayOvertake);
  /// The request whose response is written next.
  std::optional<PipelinePosition> front() const;
  /// The response to the first request has been written.
  void didAnswerFront();
  std::size_t unanswered() const { return Entries.size(); }

private:
  struct Entry {
    PipelineMode Mode;
    std::size_t BodyBytes;
    bool IsStarted = false;
  };

  PipelineLimits Limits;
  std::deque<Entry> Entries;
  std::uint64_t Answered = 0;
  std::size_t BodyBytes = 0;
};

} // namespace wigeonlift
