#pragma once

#include "BodyMemory.h"

#include <LibBalance/LibBalance.h>
#include <LibHttp/LibHttp.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace wigeonlift {

/// A body, or the beginning of one, and the memory that it takes.
struct HeldBody {
  std::string Bytes;
  BodyMemory::Reservation Memory;
};

/// An answer of an upstream that has arrived as a whole.
struct WholeAnswer {
  HttpResponseHead Head;
  HeldBody Body;
};

/// An answer whose body is too large to hold; the rest of it is still on the connection.
struct OpenAnswer {
  HttpResponseHead Head;
  HeldBody Begun;
  std::shared_ptr<ConnectionLease> Connection;
};

/// The caller closed its connection.
struct CallerGone {};

using RequestOutcome = std::variant<WholeAnswer, OpenAnswer, Failure, CallerGone>;

/// A request on its way through this VM, shared by the caller's session and the attempts.
class ProxiedRequest {
public:
  /// How long after its deadline a request's answer is read and passed on.
  static constexpr Duration LateAnswerSpan = std::chrono::seconds{1};

  ProxiedRequest(const boost::asio::any_io_executor &executor, RequestSpec spec,
                 HttpRequestHead head, std::string body);

  /// The first outcome counts; later ones are dropped.
  void deliver(RequestOutcome outcome);
  bool isDecided() const { return Outcome.has_value(); }
  /// Bytes of the answer that wait to be taken.
  std::size_t heldBytes() const;
  boost::asio::awaitable<RequestOutcome> nextOutcome();

  RequestSpec Spec;
  HttpRequestHead Head;
  std::string Body;
  /// Id that the caller gave this attempt of its own; upstreams echo it.
  std::string CallerAttempt;
  std::string Route;
  std::string Service;
  /// Bytes of the answer that are held until it is whole. The rest of a larger one is streamed.
  std::size_t MaxHeldBytes = std::size_t{2} * 1024 * 1024;
  /// What the held bytes are taken from; null when the caller's session has reserved them.
  BodyMemory *AnswerMemory = nullptr;
  int Attempts = 0;
  TimePoint LastSentAt{};

private:
  std::optional<RequestOutcome> Outcome;
  boost::asio::steady_timer Event;
};

} // namespace wigeonlift
