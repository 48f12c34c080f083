#include "DispatcherDump.h"

#include "JsonText.h"

#include <fmt/format.h>

namespace wigeonlift {

namespace {

void append(std::string &list, std::string_view item) {
  if (!list.empty())
    list += ',';
  list += item;
}

std::string dump(const UpstreamSnapshot &it) {
  return fmt::format(
      R"({{"name":{},"address":{},"listed":{},"leaving":{},"draining":{},"permitted":{},)"
      R"("permission_left_ms":{},"ejected":{},"in_subset":{},"own_in_flight":{},)"
      R"("others_in_flight":{:.2f},"report":{},"report_age_ms":{},"attempts":{},"failures":{},)"
      R"("probes":{}}})",
      jsonText(it.Name), jsonText(it.Address), it.IsListed, it.IsLeaving, it.IsDraining,
      it.IsPermitted, toMilliseconds(it.PermissionLeft), it.IsEjected, it.IsInSubset,
      it.OwnInFlight, it.OthersInFlight, jsonText(it.LastReport ? it.LastReport->toHeader() : ""),
      toMilliseconds(it.ReportAge), it.Attempts, it.Failures, it.Probes);
}

std::string dump(const EntrySnapshot &it) {
  return fmt::format(R"({{"name":{},"queued":{},"in_flight":{},"calls_per_second_limit":{:.2f},)"
                     R"("in_flight_limit":{},"calls_per_second":{:.2f},"arrived":{},"admitted":{},)"
                     R"("refused_by_limit":{},"refused_by_deadline":{},"waiting_for_rate":{}}})",
                     jsonText(it.Name), it.Queued, it.InFlight, it.CallsPerSecondLimit,
                     it.InFlightLimit, it.CallsPerSecond, it.Arrived, it.Admitted,
                     it.RefusedByLimit, it.RefusedByDeadline, it.WaitingForRate);
}

} // namespace

std::string dumpDispatcher(const DispatcherState &state) {
  std::string upstreams;
  for (const UpstreamSnapshot &it : state.Upstreams)
    append(upstreams, dump(it));
  std::string entries;
  for (const EntrySnapshot &it : state.Entries)
    append(entries, dump(it));
  return fmt::format(R"({{"calls":{},"attempts_running":{},"attempts":{},"retries":{},)"
                     R"("hedges":{},"hedge_wins":{},"probes":{},"probes_per_window":{},)"
                     R"("hedge_delay_ms":{},"upstreams":[{}],"entries":[{}]}})",
                     state.Calls, state.AttemptsRunning, state.Attempts, state.Retries,
                     state.Hedges, state.HedgeWins, state.Probes, state.ProbesPerWindow,
                     toMilliseconds(state.HedgeDelay), upstreams, entries);
}

void writeDispatcher(const DispatcherState &state, MetricsText &text) {
  const MetricsText::Label service{"service", state.Service};
  const auto count = [&](std::string_view name, std::uint64_t value) {
    text.counter(name, {service}, static_cast<double>(value));
  };
  count("wigeonlift_dispatched_total", state.Attempts);
  count("wigeonlift_retries_total", state.Retries);
  count("wigeonlift_hedges_total", state.Hedges);
  count("wigeonlift_hedge_wins_total", state.HedgeWins);
  count("wigeonlift_service_probes_total", state.Probes);
  text.gauge("wigeonlift_probes_per_window", {service}, state.ProbesPerWindow);
  for (const EntrySnapshot &it : state.Entries) {
    text.gauge("wigeonlift_entry_queued", {service, {"entry", it.Name}}, it.Queued);
    text.gauge("wigeonlift_entry_in_flight", {service, {"entry", it.Name}}, it.InFlight);
  }
}

} // namespace wigeonlift
