#include <LibRouting/ChoicePolicy.h>

namespace wigeonlift {

namespace {

/// Index of the candidate with the smallest key. Ties are broken at random, so that VMs with the
/// same view don't all choose the same upstream.
template <typename Key>
std::size_t indexOfSmallest(std::span<const Candidate> candidates, Random &random, Key key) {
  std::size_t best = 0;
  std::size_t ties = 1;
  for (std::size_t n = 1; n < candidates.size(); ++n) {
    if (key(candidates[best]) < key(candidates[n]))
      continue;
    ties = key(candidates[n]) < key(candidates[best]) ? 1 : ties + 1;
    if (ties == 1 || random.below(ties) == 0)
      best = n;
  }
  return best;
}

int ownInFlight(const Candidate &candidate) { return candidate.OwnInFlight; }
double load(const Candidate &candidate) { return candidate.Load; }

} // namespace

std::size_t RandomChoice::choose(std::span<const Candidate> candidates, Random &random) {
  return random.below(candidates.size());
}

std::size_t RoundRobin::choose(std::span<const Candidate> candidates, Random &random) {
  // Starting at a random index keeps VMs that start together from choosing the same upstreams at
  // the same time.
  if (Next == 0)
    Next = random.below(candidates.size());
  return Next++ % candidates.size();
}

std::size_t LeastLocal::choose(std::span<const Candidate> candidates, Random &random) {
  return indexOfSmallest(candidates, random, ownInFlight);
}

std::size_t TwoChoices::choose(std::span<const Candidate> candidates, Random &random) {
  const std::size_t a = random.below(candidates.size());
  const std::size_t b = random.below(candidates.size());
  return ownInFlight(candidates[b]) < ownInFlight(candidates[a]) ? b : a;
}

std::size_t LeastExpectedWait::choose(std::span<const Candidate> candidates, Random &random) {
  return indexOfSmallest(candidates, random, load);
}

} // namespace wigeonlift
