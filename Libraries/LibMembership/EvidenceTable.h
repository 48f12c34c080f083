#pragma once

#include <LibMembership/PeerMessage.h>

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace wigeonlift {

/// The newest evidence about each upstream, the VM's own and that of peers. All times are on the
/// clock of this process.
class EvidenceTable {
public:
  struct Name {
    std::string Service;
    std::string Upstream;
  };
  struct Item {
    TimePoint ObservedAt{};
    LoadReport Load;
    /// Messages that have carried it.
    int Sent = 0;
  };

  /// Sets the upstreams of a service. Evidence about others is dropped.
  void setUpstreams(const std::string &service, const std::vector<std::string> &upstreams);
  /// True when it is newer than what was known.
  bool add(UpstreamHash upstream, TimePoint observedAt, const LoadReport &load);
  /// True when it newly says that the upstream is draining.
  bool isDraining(UpstreamHash upstream) const;
  /// Null when no service has such an upstream.
  const Name *name(UpstreamHash upstream) const;
  /// Up to 16 observations for a message: draining first, then those that were sent least.
  std::vector<Observation> take(TimePoint now);
  std::size_t size() const { return Items.size(); }

private:
  std::unordered_map<UpstreamHash, Name> Names;
  std::unordered_map<UpstreamHash, Item> Items;
};

} // namespace wigeonlift
