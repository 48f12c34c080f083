#include "PoolSet.h"

#include <utility>

namespace wigeonlift {

namespace {

// One open connection spares the first call of a burst the time to connect; at the target of 3,000
// upstreams more of them would cost each VM thousands of sockets.
constexpr int WarmConnections = 1;

} // namespace

PoolSet::PoolSet(boost::asio::any_io_executor executor) : Executor(std::move(executor)) {}

std::shared_ptr<UpstreamPool> PoolSet::get(const std::string &address, int limit) {
  const auto it = Pools.find(address);
  if (it != Pools.end())
    return it->second;
  const auto endpoint = parseEndpoint(address);
  if (!endpoint)
    return nullptr;
  return Pools.emplace(address, std::make_shared<UpstreamPool>(Executor, *endpoint, limit))
      .first->second;
}

void PoolSet::setLimit(const std::string &address, int limit) {
  if (const auto it = Pools.find(address); it != Pools.end())
    it->second->setLimit(limit);
}

void PoolSet::retire(const std::string &address) {
  const auto it = Pools.find(address);
  if (it == Pools.end())
    return;
  it->second->retire();
  Pools.erase(it);
}

void PoolSet::maintain(TimePoint now) {
  for (const auto &[address, pool] : Pools)
    pool->maintain(now, WarmConnections);
}

PoolCounts PoolSet::counts() const {
  PoolCounts sum;
  for (const auto &[address, pool] : Pools)
    sum += pool->counts();
  return sum;
}

} // namespace wigeonlift
