#pragma once

#include <LibDispatch/DispatchTypes.h>
#include <LibRouting/LibRouting.h>

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace wigeonlift {

/// Maps the upstreams in the platform's list to their positions in the upstream table.
class UpstreamRegistry {
public:
  /// Applies the latest list. Returns the upstreams that are newly marked as leaving.
  std::vector<UpstreamIndex> setUpstreams(std::span<const UpstreamSpec> upstreams,
                                          UpstreamTable &table, TimePoint now);
  const UpstreamSpec &spec(UpstreamIndex n) const { return Specs[n.Value]; }
  std::size_t size() const { return Specs.size(); }

private:
  UpstreamIndex indexOf(const UpstreamSpec &spec, UpstreamTable &table);

  std::vector<UpstreamSpec> Specs;
  /// Position by name and address, which together identify a process.
  std::map<std::pair<std::string, std::string>, UpstreamIndex> IndexByNameAndAddress;
};

} // namespace wigeonlift
