#pragma once

#include <LibTicket/LibTicket.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wigeonlift {

/// The ticket table of this incarnation, and the repeats that wait for the outcome of a call that
/// still runs.
class TicketDesk {
public:
  TicketDesk(const boost::asio::any_io_executor &executor, BootId boot, std::size_t capacity,
             Duration lifetime);

  /// A new ticket; empty when there is no capacity.
  std::optional<std::string> issue(TimePoint now) { return Table.issue(now); }
  BeginResult begin(std::string_view ticket, const RequestDigest &digest, TimePoint now) {
    return Table.begin(ticket, digest, now);
  }
  /// Records the outcome and wakes the repeats that wait for it.
  void finish(TicketId id, TicketOutcome outcome, TimePoint now);
  /// Waits for the outcome of a running call; null when there is none in time.
  boost::asio::awaitable<std::shared_ptr<const TicketOutcome>> wait(TicketId id, TimePoint until);
  void expire(TimePoint now) { Table.expire(now); }

  Duration lifetime() const { return Lifetime; }
  std::size_t size() const { return Table.size(); }
  std::size_t recordedBytes() const { return Table.recordedBytes(); }

private:
  using TimerPtr = std::shared_ptr<boost::asio::steady_timer>;

  boost::asio::any_io_executor Executor;
  TicketTable Table;
  Duration Lifetime;
  std::unordered_map<TicketId, std::vector<TimerPtr>> Waiting;
};

} // namespace wigeonlift
