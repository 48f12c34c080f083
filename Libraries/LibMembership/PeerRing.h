#pragma once

#include <LibBase/LibBase.h>

#include <string>
#include <vector>

namespace wigeonlift {

/// A bounded, slowly changing selection of peers in shuffled order. Each pass through it replaces
/// one peer, so that over time every peer is asked while few connections are open at a time.
class PeerRing {
public:
  explicit PeerRing(std::size_t capacity) : Capacity(capacity) {}

  /// Drops names that are no candidates and fills up from the candidates.
  void refresh(const std::vector<std::string> &candidates, Random &random);
  /// The next peer; empty when there is none.
  std::string next(const std::vector<std::string> &candidates, Random &random);
  const std::vector<std::string> &names() const { return Names; }

private:
  bool contains(const std::string &name) const;

  std::size_t Capacity;
  std::vector<std::string> Names;
  std::size_t Position = 0;
};

} // namespace wigeonlift
