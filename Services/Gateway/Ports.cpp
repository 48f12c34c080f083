#include "Ports.h"

#include <platform/Platform.h>

#include <LibJson/LibJson.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Short enough that callers leave a VM that is gone soon, long enough to ask rarely.
constexpr Duration DirectoryLifetime = std::chrono::seconds{3};

HttpResponse response(http::status status, std::string body = {},
                      std::string_view type = "application/json") {
  HttpResponse result{status, 11};
  result.set(http::field::content_type, type);
  result.body() = std::move(body);
  return result;
}

std::string metrics(Gateway &gateway, FleetTask &fleet, const StoreTask &store) {
  MetricsText text;
  const GatewayCounts &counts = gateway.counts();
  const auto answers = [&](std::string_view outcome, std::uint64_t n) {
    text.counter("wigeonlift_requests_total", {{"outcome", outcome}}, static_cast<double>(n));
  };
  answers("relayed", counts.Relayed);
  answers("refused", counts.Refused);
  answers("failed", counts.Failed);
  answers("rejected", counts.Rejected);
  answers("caller_left", counts.CallersLeft);
  answers("broken", counts.BrokenAnswers);
  text.histogram("wigeonlift_request_seconds", {}, counts.Latency);
  const auto each = [&](std::string_view name, auto value) {
    for (const auto &[service, task] : gateway.services())
      text.counter(name, {{"service", service}}, static_cast<double>(value(*task)));
  };
  each("wigeonlift_attempts_total",
       [](const ServiceTask &it) { return it.balancer().counts().Attempts; });
  each("wigeonlift_hedges_total",
       [](const ServiceTask &it) { return it.balancer().counts().Hedges; });
  each("wigeonlift_hedge_wins_total",
       [](const ServiceTask &it) { return it.balancer().counts().HedgeWins; });
  each("wigeonlift_residual_hedges_total",
       [](const ServiceTask &it) { return it.balancer().counts().ResidualHedges; });
  each("wigeonlift_overtaken_attempts_total",
       [](const ServiceTask &it) { return it.balancer().counts().OvertakenAttempts; });
  each("wigeonlift_probes_total",
       [](const ServiceTask &it) { return it.balancer().counts().Probes; });
  each("wigeonlift_refusals_total",
       [](const ServiceTask &it) { return it.balancer().counts().Refusals; });
  each("wigeonlift_sent_to_slow_total",
       [](const ServiceTask &it) { return it.balancer().counts().SentToSlow; });
  each("wigeonlift_sent_to_cold_total",
       [](const ServiceTask &it) { return it.balancer().counts().SentToCold; });
  const auto rejections = [&](std::string_view reason, std::uint64_t BalanceCounts::*count) {
    for (const auto &[service, task] : gateway.services())
      text.counter("wigeonlift_rejected_early_total", {{"service", service}, {"reason", reason}},
                   static_cast<double>(task->balancer().counts().*count));
  };
  rejections("admission", &BalanceCounts::RefusedByAdmission);
  rejections("forecast", &BalanceCounts::RefusedByForecast);
  for (const auto &[service, task] : gateway.services())
    for (const auto &[priority, fraction] : task->balancer().admission().admittedFractions())
      text.gauge("wigeonlift_admitted_fraction",
                 {{"service", service}, {"priority", fmt::format("{}", priority)}}, fraction);
  const TimePoint now = bootTimeNow();
  for (const auto &[service, task] : gateway.services()) {
    text.gauge("wigeonlift_cold_upstreams", {{"service", service}},
               static_cast<double>(task->balancer().limits().coldUpstreams(now)));
    text.gauge("wigeonlift_queued", {{"service", service}},
               static_cast<double>(task->balancer().queuedRequests()));
    text.gauge("wigeonlift_running", {{"service", service}},
               static_cast<double>(task->balancer().runningAttempts()));
    text.gauge("wigeonlift_upstreams_reading_bodies", {{"service", service}},
               static_cast<double>(task->balancer().upstreamsReadingBodies()));
    text.gauge("wigeonlift_upstreams", {{"service", service}},
               static_cast<double>(task->upstreams()));
  }
  for (const auto &[dataCentre, endsAt] : gateway.evacuated().all())
    text.gauge("wigeonlift_evacuated", {{"data_centre", dataCentre}}, 1);
  text.counter("wigeonlift_store_calls_total", {{"kind", "read"}},
               static_cast<double>(store.calls().Reads));
  text.counter("wigeonlift_store_calls_total", {{"kind", "watch"}},
               static_cast<double>(store.calls().Watches));
  text.counter("wigeonlift_store_call_failures_total", {},
               static_cast<double>(store.calls().Failed));
  text.counter("wigeonlift_store_body_bytes_total", {},
               static_cast<double>(store.calls().BodyBytes));
  text.counter("wigeonlift_store_items_total", {{"kind", "ignored"}},
               static_cast<double>(store.calls().IgnoredItems));
  text.counter("wigeonlift_store_items_total", {{"kind", "left_out"}},
               static_cast<double>(store.calls().LeftOutItems));
  const StoreReplica &replica = fleet.replica();
  text.gauge("wigeonlift_replica_items", {}, static_cast<double>(replica.items().size()));
  text.gauge("wigeonlift_replica_unused_bytes", {},
             static_cast<double>(replica.bounded().unusedBytes()));
  text.gauge("wigeonlift_replica_unused_bytes_max", {},
             static_cast<double>(BoundedItems::MaxUnusedBytes));
  text.gauge("wigeonlift_replica_left_out", {}, replica.hasLeftOut() ? 1 : 0);
  text.gauge("wigeonlift_replica_lacking", {}, replica.isLacking() ? 1 : 0);
  text.gauge("wigeonlift_store_revision", {},
             static_cast<double>(fleet.replica().revision().Number));
  text.gauge("wigeonlift_store_era", {}, static_cast<double>(fleet.replica().revision().Era));
  text.gauge("wigeonlift_replica_age_seconds", {}, toSeconds(fleet.fleet().freshness().age(now)));
  text.counter("wigeonlift_replica_old_total", {}, static_cast<double>(fleet.oldReplicas()));
  text.gauge("wigeonlift_reads_store", {}, fleet.members().isReader(now) ? 1 : 0);
  text.gauge("wigeonlift_plan_version", {},
             gateway.plans().current()
                 ? static_cast<double>(gateway.plans().current()->configuration().Version)
                 : 0);
  text.gauge("wigeonlift_members_alive", {},
             static_cast<double>(fleet.members().aliveVms(now).size()));
  text.gauge("wigeonlift_repeat_share", {}, gateway.shares().OfRepeats);
  text.gauge("wigeonlift_request_share", {}, gateway.shares().OfRequests);
  text.counter("wigeonlift_peer_bytes_sent_total", {}, static_cast<double>(fleet.bytesSent()));
  text.counter("wigeonlift_replica_pulls_total", {}, static_cast<double>(fleet.pulls()));
  text.counter("wigeonlift_log_lines_dropped_total", {},
               static_cast<double>(gateway.eventLog().dropped()));
  return text.text();
}

std::string stateDump(Gateway &gateway, FleetTask &fleet) {
  boost::json::object state;
  state["name"] = gateway.settings().Name;
  state["ready"] = gateway.isReady();
  state["plan"] =
      gateway.plans().current() ? gateway.plans().current()->configuration().Version : 0;
  state["store_revision"] = fleet.replica().revision().Number;
  state["store_era"] = fleet.replica().revision().Era;
  boost::json::array upstreams;
  for (const auto &[id, it] : gateway.upstreams().upstreams())
    upstreams.push_back(boost::json::object{{"id", id},
                                            {"service", it.Service},
                                            {"address", it.Address},
                                            {"data_centre", it.DataCentre},
                                            {"slots", it.Slots},
                                            {"draining", it.IsDraining}});
  state["upstreams"] = std::move(upstreams);
  boost::json::array evacuated;
  for (const auto &[dataCentre, endsAt] : gateway.evacuated().all())
    evacuated.push_back(
        boost::json::object{{"data_centre", dataCentre}, {"in_store", !endsAt.has_value()}});
  state["evacuated"] = std::move(evacuated);
  return boost::json::serialize(state);
}

} // namespace

HttpHandler readinessHandler(Gateway &gateway) {
  return [&gateway](HttpRequest request) -> asio::awaitable<HttpResponse> {
    if (request.target() != platform::ReadinessPath)
      co_return response(http::status::not_found);
    co_return response(gateway.isReady() ? http::status::ok : http::status::service_unavailable,
                       "{}");
  };
}

HttpHandler directoryHandler(Gateway &gateway, DirectoryLookup lookup) {
  return [&gateway,
          lookup = std::move(lookup)](HttpRequest request) -> asio::awaitable<HttpResponse> {
    const auto query = platform::decodeDirectoryQuery(request.target());
    if (!query)
      co_return response(http::status::not_found);
    const auto addresses = lookup(query->DataCentre);
    if (addresses.empty())
      co_return response(http::status::service_unavailable, R"({"error":"no entry VM is ready"})");
    const Duration lifetime =
        std::min(DirectoryLifetime, gateway.settings().Bounds.MaxDirectoryLifetime);
    co_return response(http::status::ok, platform::encodeDirectoryResponse(addresses, lifetime));
  };
}

HttpHandler operatorHandler(Gateway &gateway, FleetTask &fleet, StoreTask &store) {
  return [&](HttpRequest request) -> asio::awaitable<HttpResponse> {
    if (request.target() == "/metrics")
      co_return response(http::status::ok, metrics(gateway, fleet, store),
                         "text/plain; version=0.0.4");
    if (request.target() == "/state")
      co_return response(http::status::ok, stateDump(gateway, fleet));
    co_return response(http::status::not_found);
  };
}

} // namespace wigeonlift
