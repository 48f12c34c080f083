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
  // The same name at another address is another process, so no state of the old one applies to it.
  // A process that returns to the list, as after the list was stale for some time, keeps its
  // position and its share of the measuring budget.
  const auto [known, isNew] = IndexByNameAndAddress.try_emplace({spec.Name, spec.Address});
  if (isNew) {
    known->second = table.add(spec.Name);
    Specs.push_back(spec);
  }
  return known->second;
}

} // namespace wigeonlift
