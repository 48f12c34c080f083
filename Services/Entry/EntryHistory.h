#pragma once

#include "ProxiedCall.h"

#include <LibCatalogue/LibCatalogue.h>
#include <LibHistory/LibHistory.h>
#include <LibSettings/LibSettings.h>

#include <absl/status/status.h>

#include <string>

namespace wigeonlift {

/// Writes the events of the data path for `wigeonlift-check`, if the settings name a file. Each
/// event reaches the kernel at once, so that none is lost when a test kills the process.
class EntryHistory {
public:
  absl::Status open(const EntrySettings &settings);

  void didAccept(const Catalogue &catalogue) { write(catalogue, CatalogueStep::Accepted); }
  void didApply(const Catalogue &catalogue) { write(catalogue, CatalogueStep::InEffect); }
  void didDispatch(const std::string &service, const std::string &upstream, const ProxiedCall &call,
                   AttemptId attempt, TimePoint at);
  void didProbe(const std::string &service, const std::string &upstream, TimePoint at);
  void didStop(Phase phase);

private:
  void write(const Catalogue &catalogue, CatalogueStep step);
  void write(EventData event, TimePoint at);

  bool IsOpen = false;
  std::string Name;
  HistoryWriter Writer;
};

} // namespace wigeonlift
