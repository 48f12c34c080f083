#include <LibMembership/FailureDetector.h>

namespace wigeonlift {

namespace {

/// Delays between data centres are a few milliseconds; the rest is allowance for busy VMs.
constexpr Duration DirectTimeout = std::chrono::milliseconds{400};
constexpr Duration IndirectTimeout = std::chrono::milliseconds{1200};
constexpr std::size_t MaxRelays = 64;

} // namespace

std::uint64_t FailureDetector::didPing(const std::string &name, TimePoint now) {
  Pings[++LastSequence] = {name, now, false};
  return LastSequence;
}

std::uint64_t FailureDetector::didPingFor(std::uint64_t sequence, const PeerRoute &asker,
                                          TimePoint now) {
  if (Relays.size() >= MaxRelays)
    Relays.erase(Relays.begin());
  Relays[++LastSequence] = {sequence, asker, now};
  return LastSequence;
}

void FailureDetector::didAck(std::uint64_t sequence) { Pings.erase(sequence); }

std::optional<std::pair<std::uint64_t, PeerRoute>>
FailureDetector::takeRelay(std::uint64_t sequence) {
  const auto node = Relays.extract(sequence);
  if (node.empty())
    return std::nullopt;
  return std::pair{node.mapped().Sequence, node.mapped().Asker};
}

FailureDetector::Overdue FailureDetector::check(TimePoint now) {
  Overdue overdue;
  for (auto it = Pings.begin(); it != Pings.end();) {
    OutstandingPing &ping = it->second;
    const Duration age = now - ping.SentAt;
    if (age >= DirectTimeout && !ping.IsIndirect && !ping.Name.empty()) {
      ping.IsIndirect = true;
      overdue.Indirect.emplace_back(ping.Name, it->first);
    }
    if (age < IndirectTimeout) {
      ++it;
      continue;
    }
    if (!ping.Name.empty())
      overdue.Unreachable.push_back(ping.Name);
    it = Pings.erase(it);
  }
  std::erase_if(Relays, [now](const auto &it) { return now - it.second.SentAt > IndirectTimeout; });
  return overdue;
}

void FailureDetector::reset() {
  Pings.clear();
  Relays.clear();
}

} // namespace wigeonlift
