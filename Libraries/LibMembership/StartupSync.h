#pragma once

#include <LibBase/LibBase.h>

#include <optional>
#include <set>
#include <string>

namespace wigeonlift {

/// Decides when a starting VM knows enough to serve calls: it has asked the configuration service
/// and up to 3 peers and has the largest version that they named.
class StartupSync {
public:
  explicit StartupSync(TimePoint startedAt) : StartedAt(startedAt) {}

  void didAskService() { HasAskedService = true; }
  void didHearPeer(const std::string &name) { Peers.insert(name); }
  std::size_t answeredPeers() const { return Peers.size(); }
  /// True once, when the VM may begin to serve. `isBehind` says that a newer version is on its way.
  bool becomesDone(std::size_t knownPeers, bool hasCatalogue, bool isBehind, TimePoint now);
  bool isDone() const { return IsDone; }

private:
  TimePoint StartedAt;
  std::set<std::string> Peers;
  bool HasAskedService = false;
  bool IsDone = false;
};

} // namespace wigeonlift
