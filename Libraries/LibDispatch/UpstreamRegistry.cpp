#include <LibDispatch/UpstreamRegistry.h>

namespace wigeonlift {

std::vector<UpstreamIndex> UpstreamRegistry::setUpstreams(std::span<const UpstreamSpec> upstreams,
                                                          UpstreamTable &table, TimePoint now) {
  std::vector<bool> isListed(Specs.size() + upstreams.size(), false);
  std::vector<UpstreamIndex> leaving;
  for (const UpstreamSpec &it : upstreams) {
    const UpstreamIndex index = indexOf(it, table);
    isListed[index.Value] = true;
    Specs[index.Value] = it;
    Upstream &upstream = table[index];
    if (it.IsLeaving && !upstream.IsLeaving) {
      upstream.Permission.revoke(now);
      leaving.push_back(index);
    }
    upstream.IsLeaving = it.IsLeaving;
  }
  for (std::uint32_t n = 0; n < Specs.size(); ++n)
    table[UpstreamIndex{n}].IsListed = isListed[n];
  return leaving;
}

UpstreamIndex UpstreamRegistry::indexOf(const UpstreamSpec &spec, UpstreamTable &table) {
  // Another address is another process: nothing known about the old one holds for it. A process
  // that comes back, as when the list is stale for a while, keeps its position and with it its
  // share of the measuring budget.
  const auto [known, isNew] = IndexOfProcess.try_emplace({spec.Name, spec.Address});
  if (isNew) {
    known->second = table.add(spec.Name);
    Specs.push_back(spec);
  }
  return known->second;
}

} // namespace wigeonlift
