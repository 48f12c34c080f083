#include <LibHttp/ConnectionLease.h>

#include <LibHttp/UpstreamPool.h>

#include <utility>

namespace wigeonlift {

ConnectionLease::ConnectionLease(std::shared_ptr<UpstreamPool> pool,
                                 std::shared_ptr<UpstreamConnection> connection)
    : Pool(std::move(pool)), Connection(std::move(connection)) {}

ConnectionLease::~ConnectionLease() {
  if (Connection)
    Pool->discard(Connection);
}

ConnectionLease &ConnectionLease::operator=(ConnectionLease &&other) noexcept {
  if (Connection && this != &other)
    Pool->discard(Connection);
  Pool = std::move(other.Pool);
  Connection = std::move(other.Connection);
  return *this;
}

void ConnectionLease::giveBack() {
  if (Connection)
    Pool->release(std::move(Connection));
}

void ConnectionLease::giveBackUnused() {
  if (Connection)
    Pool->releaseUnused(std::move(Connection));
}

} // namespace wigeonlift
