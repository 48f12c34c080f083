#include "AllocationCount.h"

#include <LibDispatch/LibDispatch.h>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <chrono>
#include <deque>
#include <memory>

DEFINE_int32(calls, 50000, "Calls per run.");
DEFINE_int32(seed, 1, "Seed.");

namespace wigeonlift::bench {

namespace {

using namespace std::chrono_literals;

constexpr LoadReport Busy{2, 0, 3, UpstreamState::Ready};
constexpr std::size_t InFlight = 40;

std::shared_ptr<const Catalogue> makeCatalogue() {
  auto catalogue = std::make_shared<Catalogue>();
  catalogue->Fleet = {20, 2500ms};
  catalogue->Services = {{"service", 3, 220, 1, 8, 5, {28, 2, 10s}}};
  catalogue->Entries = {
      {"lookup", "owner", 0, "/l", CallClass::Idempotent, {1e9, 1'000'000, 1'000'000, 2s}}};
  return catalogue;
}

/// Runs whole calls, from arrival to the end of the response, with a number of them in flight. All
/// that the dispatcher does for a call counts as its decision.
class Run {
public:
  explicit Run(int upstreams) : Decider(static_cast<std::uint64_t>(FLAGS_seed), TimePoint{}) {
    std::vector<UpstreamSpec> specs;
    specs.reserve(static_cast<std::size_t>(upstreams));
    for (int n = 0; n < upstreams; ++n)
      specs.push_back({fmt::format("up{}", n), fmt::format("10.0.0.1:{}", n), "a"});
    Decider.setCatalogue(makeCatalogue(), 0, Now, Out);
    Decider.setUpstreams(specs, Now, Out);
    for (std::uint32_t n = 0; n < specs.size(); ++n)
      Decider.peerEvidence({UpstreamIndex{n}, Now, Busy}, Now, Out);
  }

  void calls(int count) {
    for (int n = 0; n < count; ++n) {
      Now += 10us;
      if (n % 100 == 0)
        Decider.tick(Now, Out);
      Decider.callArrived({CallId{++LastCall}, CallClass::Idempotent, 0, Now + 2s, 4}, Now, Out);
      takeStarts();
      if (Running.size() > InFlight) {
        const AttemptId oldest = Running.front();
        Running.pop_front();
        Decider.responseStarted(oldest, {200, false, false, Busy}, Now, Out);
        Decider.responseFinished(oldest, Now, Out);
      }
    }
  }

private:
  void takeStarts() {
    for (const Command &it : Out)
      if (const auto *start = std::get_if<StartAttempt>(&it))
        Running.push_back(start->Attempt);
    Out.clear();
    Decider.mayWrite(Running.back(), Now, Out);
  }

  DefaultDispatcher Decider;
  Commands Out;
  TimePoint Now = TimePoint{} + 1s;
  std::uint64_t LastCall = 0;
  std::deque<AttemptId> Running;
};

void measure(int upstreams) {
  Run run(upstreams);
  run.calls(FLAGS_calls / 5);
  const std::uint64_t allocated = allocations();
  const auto started = std::chrono::steady_clock::now();
  run.calls(FLAGS_calls);
  const auto ended = std::chrono::steady_clock::now();
  const double calls = FLAGS_calls;
  const auto ns = std::chrono::duration_cast<std::chrono::nanoseconds>(ended - started).count();
  fmt::print("{{\"upstreams\":{},\"seed\":{},\"calls\":{},\"ns_per_call\":{:.0f},"
             "\"allocations_per_call\":{:.2f}}}\n",
             upstreams, FLAGS_seed, FLAGS_calls, static_cast<double>(ns) / calls,
             static_cast<double>(allocations() - allocated) / calls);
}

} // namespace

} // namespace wigeonlift::bench

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  for (const int upstreams : {14, 300, 3000})
    wigeonlift::bench::measure(upstreams);
  return 0;
}
