#include "FleetEventHandler.h"

#include <LibTelemetry/LibTelemetry.h>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace wigeonlift {

void FleetEventHandler::handle(const std::vector<FleetEvent> &events) {
  for (const FleetEvent &event : events)
    std::visit([this](const auto &it) { handle(it); }, event);
  if (Evidence.Items.empty())
    return;
  ToData(std::move(Evidence));
  Evidence = {};
}

void FleetEventHandler::handle(const CatalogueAccepted &event) {
  log(LogLevel::Info, "catalogue in effect",
      {{"version", event.Value->Version.toText()}, {"source", event.Source}});
  if (event.IsConflict)
    log(LogLevel::Error, "two catalogues have the same version; the larger digest is in effect",
        {{"version", event.Value->Version.toText()}, {"source", event.Source}});
  ToData(CatalogueChanged{event.Value});
}

void FleetEventHandler::handle(const CatalogueRefused &event) {
  const std::string version = event.Version.toText();
  switch (event.Reason) {
  case CatalogueRefused::Cause::Invalid:
    for (const DocumentError &it : event.Errors)
      log(LogLevel::Error, "invalid catalogue refused",
          {{"source", event.Source},
           {"part", it.Part},
           {"line", std::to_string(it.Line)},
           {"key", it.Key},
           {"rule", std::string{toString(it.Rule)}}});
    return;
  case CatalogueRefused::Cause::Older:
    log(LogLevel::Warn, "older catalogue refused",
        {{"source", event.Source}, {"version", version}});
    return;
  case CatalogueRefused::Cause::Conflict:
    log(LogLevel::Error, "two catalogues have the same version; the smaller digest is refused",
        {{"source", event.Source}, {"version", version}});
    return;
  case CatalogueRefused::Cause::WrongDigest:
    log(LogLevel::Warn, "catalogue does not match its digest",
        {{"source", event.Source}, {"version", version}});
    return;
  }
}

void FleetEventHandler::handle(const MemberChanged &event) {
  const bool isAlive = event.Member.State == MemberState::Alive;
  log(isAlive ? LogLevel::Info : LogLevel::Warn, "member changed",
      {{"member", event.Member.Id.Name},
       {"state", std::string{toString(event.Member.State)}},
       {"boot", event.Member.Id.Boot.toHex()},
       {"incarnation", std::to_string(event.Member.Id.Incarnation)}});
}

void FleetEventHandler::handle(const ReadersChanged &event) {
  log(LogLevel::Info, "readers of the configuration service changed",
      {{"readers", fmt::format("{}", fmt::join(event.Readers, " "))},
       {"is_self", event.IsSelf ? "true" : "false"}});
}

void FleetEventHandler::handle(const PeerObserved &event) {
  Evidence.Items.push_back({event.Service, event.Upstream, event.ObservedAt, event.Load});
}

void FleetEventHandler::handle(const ShareChanged &event) {
  ToData(LimitShareChanged{event.Entry, event.CallsPerSecond, event.InFlight, event.Until});
}

void FleetEventHandler::handle(const PauseNoticed &event) {
  log(LogLevel::Warn, "this process was paused",
      {{"milliseconds", std::to_string(toMilliseconds(event.Length))}});
}

void FleetEventHandler::handle(const FleetSynchronized &event) {
  log(LogLevel::Info, "synchronized with the fleet",
      {{"answered_peers", std::to_string(event.AnsweredPeers)}});
  ToData(Synchronized{});
}

} // namespace wigeonlift
