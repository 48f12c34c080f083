#pragma once

#include <LibBase/Random.h>
#include <LibHistory/LibHistory.h>
#include <StandIns/Load/CallConnection.h>
#include <StandIns/Load/CallOutcome.h>
#include <StandIns/Load/CallerIdentity.h>
#include <StandIns/Load/EntryDirectory.h>
#include <StandIns/Load/LoadOptions.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// One caller: remembers entry addresses, keeps connections, repeats calls as its class allows.
class Caller {
public:
  Caller(boost::asio::io_context &context, const LoadOptions &options, const DialectSpec &dialect,
         std::size_t number, HistoryWriter &history);

  /// Makes a call that was due at the given time. The operation names it uniquely.
  boost::asio::awaitable<CallOutcome> call(const EntrySpec &entry, std::string operation,
                                           TimePoint due, bool isDirect);

private:
  struct Progress {
    const EntrySpec &Entry;
    std::string Operation;
    TimePoint GiveUpAt{};
    CallOutcome Outcome;
    std::string RequestId;
    std::uint64_t Try = 0;
    std::optional<std::string> Ticket;
    int Tickets = 0;
  };

  boost::asio::awaitable<TryResult> tryOnce(Progress &progress);
  boost::asio::awaitable<TryResult> send(const std::string &address, HttpRequest request,
                                         Entity expected);
  boost::asio::awaitable<std::string> chooseAddress(bool isDirect);
  boost::asio::awaitable<void> askForTicket(Progress &progress);
  boost::asio::awaitable<void> pause(Duration span);
  bool mustRepeat(Progress &progress, const TryResult &result);
  bool mustRepeatEffect(Progress &progress, const TryResult &result);
  void beginRequest(Progress &progress);
  void didTry(Progress &progress, const TryResult &result);
  HttpRequest requestOf(const Progress &progress) const;
  Entity entityOf(const Progress &progress) const;

  boost::asio::io_context &Context;
  const LoadOptions &Options;
  CallerIdentity Identity;
  EntryDirectory Directory;
  HistoryWriter &History;
  Random Source;
  /// Idle connections by address.
  std::map<std::string, std::vector<std::unique_ptr<CallConnection>>> Idle;
};

} // namespace wigeonlift
