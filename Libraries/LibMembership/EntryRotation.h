#pragma once

#include <LibBase/LibBase.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// An entry VM that callers may be sent to.
struct EntryCandidate {
  std::string Name;
  /// `IP:PORT` for callers.
  std::string Address;
  /// Callers and calls that it reported last.
  int Load = 0;

  bool operator==(const EntryCandidate &) const = default;
};

/// Chooses the entry VMs that callers use: a smooth weighted rotation over the live entry VMs. Each
/// VM starts its rotation at its own place in the order of names, so that the answers of all VMs
/// together spread evenly. A VM with more load than the mean comes first less often.
class EntryRotation {
public:
  static constexpr std::size_t MaxChoices = 5;
  /// How long a caller may remember an answer.
  static constexpr Duration Lifetime = std::chrono::seconds{30};

  explicit EntryRotation(std::string ownName) : OwnName(std::move(ownName)) {}

  /// Sets the live entry VMs. Those that were known keep their place in the rotation.
  void setCandidates(std::span<const EntryCandidate> candidates);
  /// Up to 5 VMs in order of use; the next call starts with the next VM.
  std::vector<EntryCandidate> choose();

private:
  struct Place {
    EntryCandidate Vm;
    double Weight = 1;
    /// The VM with the smallest turn comes next; each use adds the inverse of the weight. The first
    /// turns differ, so that reports of load never make all VMs choose the same one at once.
    double Turn = 0;
  };
  void setTurns(std::vector<Place> &places) const;
  static void setWeights(std::vector<Place> &places);

  std::string OwnName;
  std::vector<Place> Places;
};

} // namespace wigeonlift
