#pragma once

#include "BodyMemory.h"
#include "ProxiedRequest.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace wigeonlift {

/// Reads the rest of a large answer for a caller. The next part is read when the caller has taken
/// the last one. An upstream aborts an answer that stays unread for some seconds, so for a slow
/// caller further parts are read into the memory for answers. The part that the caller takes and
/// the one that is being read, of 64 KiB each, aren't counted there.
class AnswerReadAhead : public std::enable_shared_from_this<AnswerReadAhead> {
public:
  AnswerReadAhead(const boost::asio::any_io_executor &executor,
                  std::shared_ptr<ConnectionLease> connection, BodyMemory &memory);

  /// Reads the answer until `end`, and gives the connection back when the answer was whole.
  void start(TimePoint end);
  /// Tells that the caller has taken what it got so far, and waits for the next part. Empty at the
  /// end of the answer, or when it broke off.
  boost::asio::awaitable<std::optional<std::string>> next();
  bool isBroken() const { return IsBroken; }
  /// The caller takes nothing more.
  void stop();

private:
  boost::asio::awaitable<void> run(TimePoint end);
  boost::asio::awaitable<void> awaitTurn();
  bool mayRead();
  void keep(std::string part);

  std::shared_ptr<ConnectionLease> Connection;
  std::shared_ptr<UpstreamConnection> Upstream;
  BodyMemory &AllMemory;
  BodyMemory::Reservation Memory;
  std::deque<std::string> Parts;
  std::size_t WaitingBytes = 0;
  /// The caller has not yet taken what it got.
  bool IsCallerBusy = true;
  bool IsCallerSlow = false;
  bool IsEnded = false;
  bool IsBroken = false;
  boost::asio::steady_timer PartTaken;
  boost::asio::steady_timer PartRead;
};

} // namespace wigeonlift
