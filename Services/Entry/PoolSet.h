#pragma once

#include <LibHttp/LibHttp.h>

#include <map>
#include <memory>
#include <string>

namespace wigeonlift {

/// The connection pools of all upstreams, by address.
class PoolSet {
public:
  explicit PoolSet(boost::asio::any_io_executor executor);

  /// The pool of an upstream, made on first use; null when the address is not valid.
  std::shared_ptr<UpstreamPool> get(const std::string &address, int limit);
  /// Changes the limit of a pool, if there is one.
  void setLimit(const std::string &address, int limit);
  /// Closes the idle connections of an upstream and forgets its pool.
  void retire(const std::string &address);
  /// Removes stale connections and opens warm ones.
  void maintain(TimePoint now);
  PoolCounts counts() const;
  const std::map<std::string, std::shared_ptr<UpstreamPool>> &all() const { return Pools; }

private:
  boost::asio::any_io_executor Executor;
  std::map<std::string, std::shared_ptr<UpstreamPool>> Pools;
};

} // namespace wigeonlift
