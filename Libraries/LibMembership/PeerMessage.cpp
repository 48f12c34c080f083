#include <LibMembership/PeerMessage.h>

#include <xxhash.h>

#include <cstring>

namespace wigeonlift {

std::string_view toString(MemberState state) {
  switch (state) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Dead:
    return "dead";
  case MemberState::Left:
    return "left";
  }
  return "";
}

UpstreamHash hashOfUpstream(std::string_view service, std::string_view upstream) {
  const std::uint64_t seed = XXH3_64bits(service.data(), service.size());
  return {XXH3_64bits_withSeed(upstream.data(), upstream.size(), seed)};
}

std::uint64_t prefixOf(const BootId &boot) {
  std::uint64_t prefix = 0;
  std::memcpy(&prefix, boot.Bytes.data(), sizeof prefix);
  return prefix;
}

} // namespace wigeonlift
