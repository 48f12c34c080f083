#include <LibFleet/PeerClocks.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Clocks that run at different speeds drift apart by less than this part of the time.
constexpr double MaxDrift = 0.0005;
constexpr Duration ForgetAfter = std::chrono::seconds{120};

} // namespace

Duration PeerClocks::leadAt(const Peer &peer, TimePoint now) {
  return peer.Lead + fromSeconds(toSeconds(now - peer.HeardAt) * MaxDrift);
}

void PeerClocks::didReceive(VmAddress vm, const ClockReading &sentAt, TimePoint now) {
  const Duration lead = now.time_since_epoch() - std::chrono::milliseconds{sentAt.Ms};
  const Peer first{.Incarnation = sentAt.Incarnation, .Lead = lead, .HeardAt = now};
  Peer &peer = Peers.try_emplace(vm, first).first->second;
  if (sentAt.Incarnation < peer.Incarnation)
    return;
  if (sentAt.Incarnation > peer.Incarnation)
    peer = first;
  peer.Lead = std::min(lead, leadAt(peer, now));
  peer.HeardAt = now;
}

Duration PeerClocks::delayOf(VmAddress vm, const ClockReading &sentAt, TimePoint now) const {
  const auto it = Peers.find(vm);
  if (it == Peers.end() || it->second.Incarnation != sentAt.Incarnation)
    return Duration::zero();
  const Duration lead = now.time_since_epoch() - std::chrono::milliseconds{sentAt.Ms};
  return std::max(Duration::zero(), lead - leadAt(it->second, now));
}

std::optional<ClockReading> PeerClocks::toClockOf(VmAddress vm, TimePoint time,
                                                  TimePoint now) const {
  const auto it = Peers.find(vm);
  if (it == Peers.end())
    return std::nullopt;
  const Duration converted = time.time_since_epoch() - leadAt(it->second, now);
  if (converted < Duration::zero())
    return std::nullopt;
  return ClockReading{.Incarnation = it->second.Incarnation,
                      .Ms = static_cast<std::uint64_t>(toMilliseconds(converted))};
}

void PeerClocks::expire(TimePoint now) {
  std::erase_if(Peers, [&](const auto &it) { return now - it.second.HeardAt > ForgetAfter; });
}

} // namespace wigeonlift
