#include "OperatorPort.h"

#include "DispatcherDump.h"
#include "JsonText.h"

#include <LibTelemetry/LibTelemetry.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <memory>
#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
constexpr auto ControlTimeout = std::chrono::seconds{1};

HttpResponse textResponse(http::status status, std::string_view type, std::string body) {
  HttpResponse response{status, 11};
  response.set(http::field::content_type, type);
  response.body() = std::move(body);
  return response;
}

std::string describe(const PoolCounts &counts) {
  return fmt::format(R"({{"idle":{},"used":{},"opening":{},"waiting":{},"opened":{},"failed":{}}})",
                     counts.Idle, counts.Used, counts.Opening, counts.Waiting, counts.Opened,
                     counts.Failed);
}

} // namespace

OperatorPort::OperatorPort(asio::io_context &context, DataPath &path)
    : Context(context), Path(path),
      Server(context, [this](HttpRequest request) { return answer(std::move(request)); }) {}

absl::Status OperatorPort::start() {
  const auto endpoint = parseEndpoint(Path.settings().OperatorAddress);
  if (!endpoint)
    return absl::InvalidArgumentError("operator_address is no valid address");
  return Server.start(*endpoint);
}

asio::awaitable<HttpResponse> OperatorPort::answer(HttpRequest request) {
  const std::string_view target = request.target();
  if (request.method() != http::verb::get)
    co_return textResponse(http::status::method_not_allowed, "text/plain", "use GET\n");
  if (target == "/state") {
    const std::string control = co_await controlPart();
    co_return textResponse(http::status::ok, "application/json",
                           fmt::format("{{\"data\":{},\"control\":{}}}\n", dataPart(), control));
  }
  if (target == "/metrics")
    co_return textResponse(http::status::ok, "text/plain; version=0.0.4", metrics());
  if (target == "/healthz")
    co_return health();
  co_return textResponse(http::status::not_found, "text/plain",
                         "known are /state, /metrics and /healthz\n");
}

asio::awaitable<std::string> OperatorPort::controlPart() {
  if (!Dump)
    co_return "null";
  struct Reply {
    explicit Reply(asio::io_context &context) : Timer(context, ControlTimeout) {}
    asio::steady_timer Timer;
    std::string Json = "null";
  };
  const auto reply = std::make_shared<Reply>(Context);
  Dump([reply, &context = Context](std::string json) {
    asio::post(context, [reply, json = std::move(json)]() mutable {
      reply->Json = std::move(json);
      reply->Timer.cancel();
    });
  });
  co_await reply->Timer.async_wait(Completion);
  co_return reply->Json;
}

std::string OperatorPort::dataPart() const {
  std::string services;
  for (const auto &[name, runner] : Path.services())
    services += fmt::format(R"({}{}:{})", services.empty() ? "" : ",", jsonText(name),
                            dumpDispatcher(runner->state()));
  std::string pools;
  for (const auto &[address, pool] : Path.parts().Pools.all())
    pools += fmt::format(R"({}{}:{})", pools.empty() ? "" : ",", jsonText(address),
                         describe(pool->counts()));
  const auto &catalogue = Path.catalogue();
  return fmt::format(
      R"({{"name":{},"boot":"{}","catalogue":{},"synchronized":{},"leaving":{},"callers":{},)"
      R"("calls":{},"tickets":{},"ticket_bytes":{},"services":{{{}}},"pools":{{{}}}}})",
      jsonText(Path.settings().Name), Path.boot().toHex(),
      catalogue ? jsonText(catalogue->Version.toText()) : "null", Path.isSynchronized(),
      Path.isLeaving(), Path.connections(), Path.usage().calls(), Path.tickets().size(),
      Path.tickets().recordedBytes(), services, pools);
}

std::string OperatorPort::metrics() const {
  MetricsText text;
  Path.parts().Metrics.writeTo(text);
  for (const auto &[name, runner] : Path.services())
    writeDispatcher(runner->state(), text);
  const PoolCounts pools = Path.parts().Pools.counts();
  text.gauge("wigeonlift_callers", {}, Path.connections());
  text.gauge("wigeonlift_tickets", {}, static_cast<double>(Path.tickets().size()));
  text.gauge("wigeonlift_calls", {}, Path.usage().calls());
  text.gauge("wigeonlift_upstream_connections", {{"state", "idle"}}, pools.Idle);
  text.gauge("wigeonlift_upstream_connections", {{"state", "used"}}, pools.Used);
  text.counter("wigeonlift_upstream_connections_opened_total", {},
               static_cast<double>(pools.Opened));
  return text.text();
}

HttpResponse OperatorPort::health() const {
  if (!Path.isSynchronized())
    return textResponse(http::status::service_unavailable, "text/plain", "not synchronized\n");
  return textResponse(http::status::ok, "text/plain", Path.isLeaving() ? "leaving\n" : "ok\n");
}

} // namespace wigeonlift
