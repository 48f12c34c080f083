#pragma once

#include <LibMembership/PeerMessage.h>

#include <map>
#include <string>
#include <vector>

namespace wigeonlift {

/// Member updates that still have to be passed on. Each is sent a number of times that grows with
/// the logarithm of the fleet; a newer update of a member replaces the older one.
class RumourQueue {
public:
  void add(const std::string &member, std::size_t fleetSize);
  /// Names of up to `count` members whose updates were sent least; counts them as sent.
  std::vector<std::string> take(std::size_t count);

private:
  /// Sends that are left for each member.
  std::map<std::string, int> Left;
};

} // namespace wigeonlift
