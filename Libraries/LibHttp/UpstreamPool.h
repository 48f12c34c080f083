#pragma once

#include <LibBase/Time.h>
#include <LibHttp/ConnectionLease.h>
#include <LibHttp/UpstreamConnection.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <memory>

namespace wigeonlift {

/// Which connections may carry a request.
enum class ConnectionNeed : std::uint8_t {
  Any,
  /// One that is new or has answered within the last 2 s. A connection that has gone silent looks
  /// open, and a request lost on it could not be told from one that was run.
  Proven,
};

/// Lets the owner of a pending acquisition abandon it.
struct PoolWait {
  explicit PoolWait(const boost::asio::any_io_executor &executor);
  /// Makes a pending `acquire` return null. A connection that is being opened for it goes back to
  /// the pool.
  void abandon();

  boost::asio::steady_timer Event;
  bool IsAbandoned = false;
};

/// Counts of one pool, for the state dump.
struct PoolCounts {
  int Idle = 0;
  int Used = 0;
  int Opening = 0;
  int Waiting = 0;
  std::uint64_t Opened = 0;
  std::uint64_t Failed = 0;

  PoolCounts &operator+=(const PoolCounts &other);
};

/// Connections to one upstream. At most `limit` exist at a time; acquisitions beyond it wait in
/// order of arrival. Every member is used on one thread.
class UpstreamPool : public std::enable_shared_from_this<UpstreamPool> {
public:
  UpstreamPool(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint endpoint,
               int limit);

  void setLimit(int limit);
  /// Takes an idle connection, opens one, or waits for one. The lease is empty when none can be
  /// opened or when the wait was abandoned.
  boost::asio::awaitable<ConnectionLease> acquire(ConnectionNeed need,
                                                  std::shared_ptr<PoolWait> wait);

  /// Closes idle connections that the upstream has closed or that were idle for long, and keeps
  /// up to `warm` idle ones open.
  void maintain(TimePoint now, int warm);
  /// Closes all idle connections, after which the pool opens no more warm ones.
  void retire();
  PoolCounts counts() const;

private:
  friend class ConnectionLease;

  void release(std::shared_ptr<UpstreamConnection> connection);
  void releaseUnused(std::shared_ptr<UpstreamConnection> connection);
  void discard(const std::shared_ptr<UpstreamConnection> &connection);

  std::shared_ptr<UpstreamConnection> takeIdle(ConnectionNeed need, TimePoint now);
  boost::asio::awaitable<ConnectionLease> open();
  void openWarm();
  void wakeWaiter();
  int total() const;
  void closeOldestIdle();

  boost::asio::any_io_executor Executor;
  boost::asio::ip::tcp::endpoint Endpoint;
  int Limit;
  int Used = 0;
  int Opening = 0;
  std::uint64_t Opened = 0;
  std::uint64_t Failed = 0;
  bool IsRetired = false;
  /// Servers commonly close connections after 60 s or more without a request.
  Duration IdleLimit = std::chrono::seconds{50};
  TimePoint WarmAgainAt{};
  /// The most recently used connection is at the back and is taken first.
  std::deque<std::shared_ptr<UpstreamConnection>> Idle;
  std::deque<std::shared_ptr<PoolWait>> Waiters;
};

} // namespace wigeonlift
