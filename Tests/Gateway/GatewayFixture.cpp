#include "GatewayFixture.h"

#include <platform/Platform.h>

#include <fmt/format.h>

#include <fcntl.h>

#include <algorithm>

namespace wigeonlift {

namespace {

constexpr std::string_view HealthRequest = "GET /hc ";
constexpr auto TestTimeout = std::chrono::seconds{10};
constexpr std::uint64_t Seed = 7;

constexpr const char *Configuration =
    R"({"version":3,"routes":[{"name":"look","host":"h.example","prefix":"/look/","route-kind":"safe",)"
    R"("timeout":"1500ms","target-latency":"600ms","priority":2,"max-attempts":2,"service":"s"},)"
    R"({"name":"record","host":"h.example","prefix":"/record/","route-kind":"unsafe","timeout":"1500ms",)"
    R"("target-latency":"600ms","priority":1,"max-attempts":2,"service":"s"},)"
    R"({"name":"bulk","host":"h.example","prefix":"/bulk/","route-kind":"download","timeout":"1500ms",)"
    R"("target-latency":"600ms","priority":2,"max-attempts":2,"service":"s"},)"
    R"({"name":"brief","host":"h.example","prefix":"/brief/","route-kind":"safe","timeout":"400ms",)"
    R"("target-latency":"1s","priority":2,"max-attempts":2,"service":"s"}],"services":[{"name":"s",)"
    R"("health-check-path":"/hc","max-connections":200}],"limits":{"max-header-bytes":16384,)"
    R"("max-body-bytes":1000000,"header-timeout":"3s","idle-timeout":"15s"}})";

GatewaySettings testSettings(int memoryMb) {
  GatewaySettings settings;
  settings.Name = "gateway-1";
  settings.DataCentre = "a";
  settings.MemoryMb = memoryMb;
  // Neither repeats nor probes are what these tests run out of.
  settings.Bounds.RepeatRatio = 100;
  settings.Bounds.ProbesPerUpstreamSecond = 100'000;
  return settings;
}

std::string entryOf(const PlatformUpstream &upstream, std::string_view warmupRemaining,
                    int born = 1) {
  return fmt::format(
      R"({{"service":"s","address":"{}","zone":"{}","version":"v1","capacity-slots":3,)"
      R"("state":"ready","warmup-remaining":"{}","sequence":1,"born":{}}})",
      upstream.address(), upstream.DataCentre, warmupRemaining, born);
}

std::string fieldOf(const std::string &request, std::string_view name) {
  const std::string key = fmt::format("\r\n{}: ", name);
  const std::size_t n = request.find(key);
  if (n == std::string::npos)
    return "";
  const std::size_t begin = n + key.size();
  return request.substr(begin, request.find("\r\n", begin) - begin);
}

} // namespace

PlatformUpstream::PlatformUpstream(boost::asio::io_context &context, std::string id, Script script)
    : Id(std::move(id)), Answer(std::move(script)),
      Server(context, [this](const std::string &request) { return answer(request); }) {}

FakeReply PlatformUpstream::answer(const std::string &request) {
  if (request.starts_with(HealthRequest))
    return {
        fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{}: {}\r\n{}: 0,0,3,100\r\n{}\r\n{}",
                    HealthLength, platform::UpstreamIdHeader, Id, platform::UpstreamLoadHeader,
                    HealthFields, HealthBody)};
  return Answer(fieldOf(request, platform::AttemptIdHeader));
}

std::vector<std::string> PlatformUpstream::requests() const {
  std::vector<std::string> result;
  std::ranges::copy_if(Server.Requests, std::back_inserter(result),
                       [](const std::string &it) { return !it.starts_with(HealthRequest); });
  return result;
}

GatewayFixture::GatewayFixture(int memoryMb)
    : Log(::open("/dev/null", O_WRONLY | O_CLOEXEC), "gateway-1"),
      Core(Context, testSettings(memoryMb), Log, Seed),
      Callers(Context,
              [this](std::shared_ptr<CallerConnection> caller) -> boost::asio::awaitable<void> {
                CallerSession session{Core, std::move(caller)};
                co_await session.run();
              }) {
  // The gateway is the only one.
  Core.setShares({.OfRepeats = 1, .OfRequests = 1});
  Core.setShareAssignment({});
  EXPECT_TRUE(Callers.start({boost::asio::ip::address_v4::loopback(), 0}).ok());
}

void GatewayFixture::configure(const std::vector<const PlatformUpstream *> &upstreams,
                               const EntryRemoval &removals) {
  std::vector<StoreItem> items{
      {.Key = std::string{platform::ConfigurationKey}, .Value = Configuration, .Revision = 1}};
  for (const PlatformUpstream *it : upstreams)
    items.push_back(
        {.Key = "servers/" + it->id(), .Value = entryOf(*it, "0ms"), .Revision = items.size() + 1});
  Core.didLearn(items, "test", removals);
}

void GatewayFixture::learnEvacuations(const std::map<std::string, bool> &isOrdered) {
  std::vector<StoreItem> items;
  for (const auto &[dataCentre, isWritten] : isOrdered)
    items.push_back({.Key = std::string{platform::EvacuationKeyPrefix} + dataCentre,
                     .Value = isWritten ? "{}" : "",
                     .Revision = 100,
                     .IsRemoved = !isWritten});
  Core.didLearn(items, "test", {});
}

void GatewayFixture::limitWarmups(double requestsPerSecond) {
  GatewaySettings settings = Core.settings();
  settings.Bounds.WarmupOverage = 1.5;
  settings.Bounds.WarmupTolerance = 8;
  Core.setSettings(settings);
  Core.setWarmupAssignment({});
  std::string configuration = Configuration;
  const auto replace = [&](std::string_view from, const std::string &to) {
    configuration.replace(configuration.find(from), from.size(), to);
  };
  replace(R"("version":3)", fmt::format(R"("version":{})", ++LastRevision));
  replace(R"("max-connections":200)",
          fmt::format(R"("max-connections":200,"warmup-per-s":{})", requestsPerSecond));
  const StoreItem item{.Key = std::string{platform::ConfigurationKey},
                       .Value = configuration,
                       .Revision = ++LastRevision};
  Core.didLearn(std::span{&item, 1}, "test", {});
}

void GatewayFixture::removeEntry(const PlatformUpstream &upstream) {
  const StoreItem item{
      .Key = "servers/" + upstream.id(), .Revision = ++LastRevision, .IsRemoved = true};
  Core.didLearn(std::span{&item, 1}, "test", {});
}

void GatewayFixture::rewrite(const PlatformUpstream &upstream, std::string_view warmupRemaining,
                             int born) {
  const StoreItem item{.Key = "servers/" + upstream.id(),
                       .Value = entryOf(upstream, warmupRemaining, born),
                       .Revision = ++LastRevision};
  Core.didLearn(std::span{&item, 1}, "test", {});
}

std::shared_ptr<RawCaller> GatewayFixture::connect() {
  auto caller = std::make_shared<RawCaller>(Context, Callers.port());
  caller->receiveAll();
  return caller;
}

std::shared_ptr<RawCaller> GatewayFixture::ask(const std::string &request) {
  auto caller = connect();
  caller->send(request);
  runUntil([&] { return caller->hasAnswer() || caller->IsClosed; });
  return caller;
}

void GatewayFixture::runUntil(const std::function<bool()> &condition) {
  const auto end = std::chrono::steady_clock::now() + TestTimeout;
  while (!condition()) {
    ASSERT_LT(std::chrono::steady_clock::now(), end) << "the condition was not met in time";
    Context.run_one_until(end);
  }
}

std::string callerRequest(const std::string &method, const std::string &target,
                          const std::string &attemptId, const std::string &body,
                          const std::string &fields) {
  const std::string length =
      method == "GET" ? "" : fmt::format("Content-Length: {}\r\n", body.size());
  return fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\n{}: {}\r\n{}: 2000\r\n{}{}\r\n{}",
                     method, target, platform::AttemptIdHeader, attemptId,
                     platform::DeadlineRemainingHeader, length, fields, body);
}

std::string sealedAnswer(const std::string &attemptId, const std::string &body, int status,
                         const std::string &fields) {
  return fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n{}: {}\r\n{}: seal-{}\r\n"
                     "{}: 1,0,3,100\r\n{}\r\n{}",
                     status, body.size(), platform::AttemptIdHeader, attemptId,
                     platform::SealHeader, attemptId, platform::UpstreamLoadHeader, fields, body);
}

std::string notExecutedAnswer(const std::string &attemptId) {
  return fmt::format("HTTP/1.1 503 X\r\nContent-Length: 0\r\n{}: {}\r\n{}: full\r\n\r\n",
                     platform::AttemptIdHeader, attemptId, platform::NotExecutedHeader);
}

int statusOf(const RawCaller &caller) {
  constexpr std::size_t statusAt = 9;
  constexpr std::size_t digits = 3;
  if (caller.Received.size() < statusAt + digits)
    return 0;
  return parseNumber<int>(std::string_view{caller.Received}.substr(statusAt, digits)).value_or(0);
}

} // namespace wigeonlift
