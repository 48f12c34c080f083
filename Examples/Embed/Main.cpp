// Embeds the dispatcher without the daemon: a program that has its own I/O tells the dispatcher
// what happened and does what its commands ask for. Here the I/O is played in virtual time.

#include <LibCatalogue/LibCatalogue.h>
#include <LibDispatch/LibDispatch.h>

#include <fmt/format.h>

#include <array>
#include <cstdint>

using namespace wigeonlift;

namespace {

constexpr const char *Document = R"(format: 1
version: 1
fleet: {max_entry_vms: 1}
dialects: []
services:
  - name: rankview
    slots: 3
    connections_per_upstream: 8
    retry_percent: 8
    hedge_percent: 5
    measuring: {probes_per_second: 10, probes_per_second_per_upstream: 5, window_ms: 1000}
entries:
  - name: history
    owner: dojo
    service: rankview
    path_prefix: /history
    class: idempotent
    limits: {calls_per_second: 100, in_flight: 10, queue: 10, deadline_ms: 1000}
)";

constexpr std::uint64_t Seed = 1;
constexpr Duration ServiceTime = std::chrono::milliseconds{5};

/// Plays upstreams that answer everything.
class EmbeddedShell {
public:
  explicit EmbeddedShell(const std::shared_ptr<const Catalogue> &catalogue) : Core(Seed, Now) {
    const std::array upstreams{UpstreamSpec{"rankview-1", "10.0.0.1:80", "kansai-1", false},
                               UpstreamSpec{"rankview-2", "10.0.0.2:80", "kansai-2", false}};
    Commands out;
    Core.setCatalogue(catalogue, 0, Now, out);
    Core.setUpstreams(upstreams, Now, out);
    run(out);
  }

  /// Lets time pass up to that instant, with a tick wherever the dispatcher asks for one.
  void runUntil(TimePoint end) {
    while (Now < end) {
      const auto next = Core.nextWakeup();
      Now = std::min(end, std::max(next.value_or(end), Now + std::chrono::milliseconds{1}));
      Commands out;
      Core.tick(Now, out);
      run(out);
    }
  }

  void call(std::uint64_t id) {
    Commands out;
    Core.callArrived({.Id = CallId{id},
                      .Class = CallClass::Idempotent,
                      .Entry = 0,
                      .Deadline = Now + std::chrono::seconds{1},
                      .ExtraAttempts = 2},
                     Now, out);
    run(out);
  }

  TimePoint now() const { return Now; }

private:
  void run(const Commands &commands) {
    for (const Command &it : commands)
      std::visit([this](const auto &command) { execute(command); }, it);
  }

  void execute(const StartAttempt &command) {
    Commands out;
    if (Core.mayWrite(command.Attempt, Now, out)) {
      fmt::print("call {} is sent to {}\n", command.Call.Value,
                 Core.upstream(command.Upstream).Name);
      Now += ServiceTime;
      Core.responseStarted(command.Attempt, {.HttpStatus = 200, .Load = LoadReport{0, 0, 3}}, Now,
                           out);
      Core.responseFinished(command.Attempt, Now, out);
    }
    run(out);
  }

  void execute(const StartProbe &command) {
    if (!Core.mayWriteProbe(command.Probe, Now))
      return;
    fmt::print("{} is probed\n", Core.upstream(command.Upstream).Name);
    Core.didWriteProbe(command.Probe, Now);
    Commands out;
    Core.probeAnswered(command.Probe, LoadReport{0, 0, 3}, Now, out);
    run(out);
  }

  void execute(const RelayResponse &command) {
    fmt::print("call {} is answered: {}\n", command.Call.Value, toString(command.Executed));
  }

  void execute(const FailCall &command) {
    fmt::print("call {} fails: {}, {}\n", command.Call.Value, toString(command.Reason.Kind),
               toString(command.Reason.Executed));
  }

  // Nothing runs on here, and there are no peers to tell.
  void execute(const CancelAttempt &) {}
  void execute(const AnnounceUpstreamDrain &) {}

  TimePoint Now{};
  DefaultDispatcher Core;
};

} // namespace

int main() {
  const ParsedCatalogue parsed = parseCatalogue(Document);
  for (const DocumentError &it : parsed.Errors)
    fmt::print(stderr, "{}\n", describe(it, "catalogue"));
  if (!parsed.Value)
    return 1;
  fmt::print("seed {}\n", Seed);
  EmbeddedShell shell{parsed.Value};
  // The first probe comes one measuring window after the start; before it there is no permission.
  shell.runUntil(shell.now() + std::chrono::milliseconds{1500});
  for (std::uint64_t n = 1; n <= 4; ++n)
    shell.call(n);
  return 0;
}
