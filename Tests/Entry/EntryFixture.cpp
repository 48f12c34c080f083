#include "EntryFixture.h"

#include <fmt/format.h>

namespace wigeonlift {

namespace {

// At a retry_percent of 18.
constexpr int CallsForTwoRetries = 12;

constexpr const char *Document = R"(format: 1
version: 7
fleet: {max_entry_vms: 1, permission_ms: 3000}
dialects:
  - {name: plain, owner: X-Owner, deadline: X-Deadline, deadline_unit: s, request_id: X-Id, class: X-Class}
services:
  - name: rankview
    slots: 3
    connections_per_upstream: 8
    call_depth: 1
    retry_percent: 18
    hedge_percent: 0
    measuring: {probes_per_second: 0, probes_per_second_per_upstream: 0, window_ms: 100}
entries:
  - {name: history, owner: dojo, service: rankview, path_prefix: /history, class: idempotent,
     limits: {calls_per_second: 10000, in_flight: 100, queue: 100, deadline_ms: 30000}}
  - {name: promote, owner: dojo, service: rankview, path_prefix: /promote, class: non_idempotent,
     limits: {calls_per_second: 10000, in_flight: 100, queue: 100, deadline_ms: 30000}}
  - {name: archive, owner: dojo, service: rankview, path_prefix: /archive, class: export,
     limits: {calls_per_second: 10000, in_flight: 100, queue: 100, deadline_ms: 30000}}
)";

EntrySettings settingsOf(std::uint8_t id, const std::string &historyFile) {
  EntrySettings settings;
  settings.Name = fmt::format("entry-{}", id);
  settings.CallersAddress = "127.0.0.1:0";
  settings.OperatorAddress = "127.0.0.1:0";
  settings.TicketCapacity = 100;
  settings.TicketLifetime = std::chrono::seconds{120};
  settings.MaxRequestBytes = 64 * 1024;
  settings.HistoryFile = historyFile;
  return settings;
}

BootId bootOf(std::uint8_t id) {
  BootId boot;
  boot.Bytes.fill(id);
  return boot;
}

} // namespace

std::shared_ptr<const Catalogue> testCatalogue() { return parseCatalogue(Document).Value; }

TestEntryVm::TestEntryVm(boost::asio::io_context &context, std::uint8_t id,
                         const std::string &historyFile)
    : Boot(bootOf(id)),
      Path(context, settingsOf(id, historyFile), Boot,
           [this](ControlTaskMessage it) { ToControl.push_back(std::move(it)); }) {
  EXPECT_TRUE(Path.start().ok());
}

void TestEntryVm::synchronize(const std::vector<const FakeUpstream *> &upstreams) {
  UpstreamsChanged list{.Service = "rankview", .Upstreams = {}};
  PeerEvidence evidence;
  for (std::size_t n = 0; n < upstreams.size(); ++n) {
    const std::string name = fmt::format("rankview-{}", n);
    list.Upstreams.push_back(
        {.Name = name, .Address = upstreams[n]->address(), .DataCentre = "", .IsLeaving = false});
    evidence.Items.push_back({.Service = "rankview",
                              .Upstream = name,
                              .ObservedAt = std::chrono::steady_clock::now(),
                              .Load = {}});
  }
  Path.handle(CatalogueChanged{testCatalogue()});
  Path.handle(list);
  Path.handle(evidence);
  Path.handle(Synchronized{});
}

EntryVm TestEntryVm::self() const {
  return {.Name = Path.settings().Name,
          .Boot = Boot,
          .Address = fmt::format("127.0.0.1:{}", Path.callersPort()),
          .DataCentre = "a",
          .Load = 0};
}

void EntryFixture::runUntil(const std::function<bool()> &condition) {
  while (!condition())
    Context.run_one();
}

std::shared_ptr<RawCaller> EntryFixture::ask(TestEntryVm &vm, const std::string &request) {
  auto caller = connect(vm);
  caller->send(request);
  runUntil([&] { return caller->hasAnswer() || caller->IsClosed; });
  caller->close();
  return caller;
}

void EntryFixture::fillRetryBudget(TestEntryVm &vm) {
  for (int n = 0; n < CallsForTwoRetries; ++n)
    ask(vm, requestText("GET", "/history"));
}

std::shared_ptr<RawCaller> EntryFixture::connect(TestEntryVm &vm) {
  auto caller = std::make_shared<RawCaller>(Context, vm.Path.callersPort());
  caller->receiveAll();
  return caller;
}

std::string requestText(const std::string &method, const std::string &target,
                        const std::string &fields, const std::string &body) {
  return fmt::format("{} {} HTTP/1.1\r\nHost: x\r\nX-Owner: dojo\r\n{}Content-Length: {}\r\n\r\n{}",
                     method, target, fields, body.size(), body);
}

std::string okResponse(const std::string &body, const std::string &fields) {
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n"
                     "Wigeonlift-Load: in_flight=0;queued=0;slots=3;state=ready\r\n{}\r\n{}",
                     body.size(), fields, body);
}

} // namespace wigeonlift
