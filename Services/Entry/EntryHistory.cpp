#include "EntryHistory.h"

#include <fmt/format.h>

#include <utility>

namespace wigeonlift {

absl::Status EntryHistory::open(const EntrySettings &settings) {
  if (settings.HistoryFile.empty())
    return absl::OkStatus();
  Name = settings.Name;
  absl::Status status = Writer.open(settings.HistoryFile, Name);
  IsOpen = status.ok();
  if (IsOpen)
    write(StartEvent{Name, ProcessRole::Entry, settings.CallersAddress},
          std::chrono::steady_clock::now());
  return status;
}

void EntryHistory::didDispatch(const std::string &service, const std::string &upstream,
                               const ProxiedCall &call, AttemptId attempt, TimePoint at) {
  if (IsOpen)
    write(DispatchEvent{service, upstream, call.RequestId, attempt.Value, call.Spec.Class}, at);
}

void EntryHistory::didProbe(const std::string &service, const std::string &upstream, TimePoint at) {
  if (IsOpen)
    write(ProbeEvent{service, upstream}, at);
}

void EntryHistory::didStop(Phase phase) {
  if (IsOpen)
    write(StopEvent{Name, phase}, std::chrono::steady_clock::now());
}

void EntryHistory::write(const Catalogue &catalogue, CatalogueStep step) {
  if (!IsOpen)
    return;
  const CatalogueVersion &version = catalogue.Version;
  const std::string digest = fmt::format("{:016x}{:016x}", version.DigestHigh, version.DigestLow);
  write(CatalogueEvent{version.Number, digest, step}, std::chrono::steady_clock::now());
}

void EntryHistory::write(EventData event, TimePoint at) {
  Writer.write(std::move(event), at);
  // A history that can't be written ends the run of a test, not the service.
  (void)Writer.flush();
}

} // namespace wigeonlift
