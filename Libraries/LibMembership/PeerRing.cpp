#include <LibMembership/PeerRing.h>

#include <algorithm>

namespace wigeonlift {

bool PeerRing::contains(const std::string &name) const {
  return std::ranges::find(Names, name) != Names.end();
}

void PeerRing::refresh(const std::vector<std::string> &candidates, Random &random) {
  std::erase_if(Names, [&](const std::string &it) {
    return std::ranges::find(candidates, it) == candidates.end();
  });
  std::vector<std::string> others;
  for (const std::string &it : candidates)
    if (!contains(it))
      others.push_back(it);
  std::ranges::shuffle(others, random.engine());
  for (const std::string &it : others) {
    if (Names.size() >= Capacity)
      return;
    Names.insert(Names.begin() + static_cast<std::ptrdiff_t>(random.below(Names.size() + 1)), it);
  }
}

std::string PeerRing::next(const std::vector<std::string> &candidates, Random &random) {
  if (Position >= Names.size()) {
    Position = 0;
    // Makes room for another peer, when there are more than the ring holds.
    if (!Names.empty() && candidates.size() > Names.size())
      Names.erase(Names.begin() + static_cast<std::ptrdiff_t>(random.below(Names.size())));
  }
  refresh(candidates, random);
  return Names.empty() ? std::string{} : Names[std::min(Position++, Names.size() - 1)];
}

} // namespace wigeonlift
