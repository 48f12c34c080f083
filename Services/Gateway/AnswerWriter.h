#pragma once

#include "Gateway.h"
#include "PendingRequest.h"

#include <boost/asio/awaitable.hpp>

namespace wigeonlift {

/// Whether the connection carries further answers behind one.
enum class AfterAnswer : std::uint8_t { KeepOpen, Close };

/// Writes answers to one caller.
class AnswerWriter {
public:
  AnswerWriter(Gateway &gateway, CallerConnection &caller) : Owner(gateway), Caller(caller) {}

  /// Writes the outcome of a request that was passed on. False when the answer could not be
  /// completed; the connection must then be closed, so that the answer can't look whole.
  boost::asio::awaitable<bool> write(const PendingRequest &pending, RequestOutcome outcome,
                                     AfterAnswer after);
  /// Writes an answer of this VM's own.
  boost::asio::awaitable<bool> write(const PendingRequest &pending, const Rejection &rejection,
                                     AfterAnswer after);

private:
  boost::asio::awaitable<bool> relay(const PendingRequest &pending, WholeAnswer whole,
                                     AfterAnswer after);
  boost::asio::awaitable<bool> relay(const PendingRequest &pending, OpenAnswer open,
                                     AfterAnswer after);
  boost::asio::awaitable<bool> refuse(const PendingRequest &pending, const Failure &failure,
                                      AfterAnswer after);

  Gateway &Owner;
  CallerConnection &Caller;
};

} // namespace wigeonlift
