#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <map>

namespace wigeonlift {

/// The upstreams that have told this VM, in a response, that they are leaving. They get no new
/// requests from then on, whatever the store says of them: a record there may be older than the
/// response, and an upstream that leaves doesn't change its mind. A new incarnation is another
/// upstream.
class LeavingUpstreams {
public:
  /// `key` identifies the incarnation. Returns whether it had not said so before.
  bool didAnnounce(std::uint64_t key, TimePoint now) {
    std::erase_if(AnnouncedAt, [&](const auto &it) { return now - it.second > Retention; });
    return AnnouncedAt.insert_or_assign(key, now).second;
  }
  bool contains(std::uint64_t key) const { return AnnouncedAt.contains(key); }

private:
  /// Upstreams have ended long before.
  static constexpr Duration Retention = std::chrono::hours{1};

  std::map<std::uint64_t, TimePoint> AnnouncedAt;
};

} // namespace wigeonlift
