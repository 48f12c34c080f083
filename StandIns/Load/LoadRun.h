#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibHistory/LibHistory.h>
#include <StandIns/Load/CallMix.h>
#include <StandIns/Load/Caller.h>
#include <StandIns/Load/LoadOptions.h>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace wigeonlift {

/// Makes calls in an open loop: a call begins when it is due, however long earlier ones take.
class LoadRun {
public:
  LoadRun(const LoadOptions &options, std::shared_ptr<const Catalogue> catalogue, CallMix mix,
          HistoryWriter &history);

  /// Runs to the end and returns the outcomes of all calls.
  std::vector<CallOutcome> run();

private:
  boost::asio::awaitable<void> beginCalls();
  boost::asio::awaitable<void> makeCall(Caller &caller, const EntrySpec &entry,
                                        std::uint64_t number, TimePoint due, bool isWarmUp);

  const LoadOptions &Options;
  std::shared_ptr<const Catalogue> Spec;
  CallMix Mix;
  boost::asio::io_context Context{1};
  std::vector<std::unique_ptr<Caller>> Callers;
  std::vector<CallOutcome> Outcomes;
};

} // namespace wigeonlift
