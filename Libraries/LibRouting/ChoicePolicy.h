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
  /// Expected wait, in calls per slot.
  double Load = 0;
};

/// Which parts of the dispatcher a policy uses. The baselines of the benchmark use none.
struct PolicyFeatures {
  bool UsesOutlierEjection = false;
  bool UsesHedging = false;
};

/// Chooses one of several upstreams. The span is never empty.
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

/// Fewest calls of this VM in flight.
class LeastLocal {
public:
  static constexpr PolicyFeatures Features{};
  std::size_t choose(std::span<const Candidate> candidates, Random &random);
};

/// The one of two random upstreams that has fewer calls of this VM in flight.
class TwoChoices {
public:
  static constexpr PolicyFeatures Features{};
  std::size_t choose(std::span<const Candidate> candidates, Random &random);
};

/// Smallest expected wait by all that is known.
class LeastExpectedWait {
public:
  static constexpr PolicyFeatures Features{.UsesOutlierEjection = true, .UsesHedging = true};
  std::size_t choose(std::span<const Candidate> candidates, Random &random);
};

} // namespace wigeonlift
