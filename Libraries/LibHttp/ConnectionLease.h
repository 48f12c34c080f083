#pragma once

#include <LibHttp/UpstreamConnection.h>

#include <memory>

namespace wigeonlift {

class UpstreamPool;

/// A connection taken from a pool. Unless it is given back it is closed, so that a connection with
/// an abandoned request is never used again.
class ConnectionLease {
public:
  ConnectionLease() = default;
  ConnectionLease(std::shared_ptr<UpstreamPool> pool,
                  std::shared_ptr<UpstreamConnection> connection);
  ~ConnectionLease();
  ConnectionLease(ConnectionLease &&) noexcept = default;
  ConnectionLease &operator=(ConnectionLease &&other) noexcept;

  explicit operator bool() const { return Connection != nullptr; }
  UpstreamConnection *operator->() const { return Connection.get(); }
  /// Keeps the connection alive during an operation on it.
  std::shared_ptr<UpstreamConnection> share() const { return Connection; }

  /// Gives the connection back after a response; the pool closes it unless it is reusable.
  void giveBack();
  /// Gives back a connection on which nothing was written.
  void giveBackUnused();

private:
  std::shared_ptr<UpstreamPool> Pool;
  std::shared_ptr<UpstreamConnection> Connection;
};

} // namespace wigeonlift
