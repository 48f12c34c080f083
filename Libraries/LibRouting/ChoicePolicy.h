#pragma once

#include <LibBase/LibBase.h>

#include <concepts>
#include <cstddef>
#include <span>

namespace wigeonlift {

/// An upstream that may receive a call.
struct Candidate {
  UpstreamIndex Upstream;
  int OwnInFlight = 0;
  /// Expected wait in calls per slot, multiplied by the upstream's slowness factor.
  double Load = 0;
};

/// Features of the dispatcher that a policy uses. The benchmark's baseline policies use none.
struct PolicyFeatures {
  bool UsesOutlierEjection = false;
  bool UsesHedging = false;
};

/// Returns the index of the chosen candidate. The span is never empty.
template <typename Policy>
concept ChoicePolicy = requires(Policy policy, std::span<const Candidate> candidates,
                                Random &random) {
  { policy.choose(candidates, random) } -> std::same_as<std::size_t>;
  { Policy::Features } -> std::convertible_to<PolicyFeatures>;
};

class RandomChoice {
public:
  static constexpr PolicyFeatures Features{};
  std::size_t choose(std::span<const Candidate> candidates, Random &random);
};

class RoundRobin {
public:
  static constexpr PolicyFeatures Features{};
  std::size_t choose(std::span<const Candidate> candidates, Random &random);

private:
  std::size_t Next = 0;
};

/// Chooses the upstream with the fewest calls of this VM in flight.
class LeastLocal {
public:
  static constexpr PolicyFeatures Features{};
  std::size_t choose(std::span<const Candidate> candidates, Random &random);
};

/// Draws two upstreams at random, possibly the same one twice, and chooses the one with fewer calls
/// of this VM in flight.
class TwoChoices {
public:
  static constexpr PolicyFeatures Features{};
  std::size_t choose(std::span<const Candidate> candidates, Random &random);
};

/// Chooses the upstream with the smallest `Load`: the expected wait by this VM's own calls, load
/// reports and latencies.
class LeastExpectedWait {
public:
  static constexpr PolicyFeatures Features{.UsesOutlierEjection = true, .UsesHedging = true};
  std::size_t choose(std::span<const Candidate> candidates, Random &random);
};

} // namespace wigeonlift
