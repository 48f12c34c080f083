#pragma once

#include <LibTicket/RequestDigest.h>
#include <LibTicket/Ticket.h>
#include <LibTicket/TicketOutcome.h>

#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace wigeonlift {

/// Limit on the total size of the responses that one table records. A response that would exceed it
/// is recorded without headers and body, so that many large responses can't exhaust the memory of a
/// small VM.
inline constexpr std::size_t MaxRecordedBytesPerTable = 64 * 1024 * 1024;

/// This is the first use of the ticket. The caller of `begin` must run the call and then call
/// `finish`.
struct TicketStarted {
  TicketId Id;
};
/// The call is running. Its outcome is available after `finish` is called for this ticket.
struct TicketRunning {
  TicketId Id;
};
/// The call has ended. Every repeat gets this outcome.
struct TicketFinished {
  std::shared_ptr<const TicketOutcome> Outcome;
};
/// The ticket contains the boot ID of another incarnation. Only that incarnation has the key to
/// check the MAC, and only it may run the call.
struct TicketForeign {
  BootId Boot;
};

using BeginResult =
    std::variant<TicketStarted, TicketRunning, TicketFinished, TicketForeign, Failure>;

/// Holds the tickets that this incarnation issued and the outcomes of their calls. Each ticket
/// starts at most one call. Not thread-safe. The `now` arguments should not decrease from call to
/// call.
class TicketTable {
public:
  /// At most `capacity` tickets are valid at a time, each for at least `lifetime`.
  TicketTable(BootId boot, std::span<const std::uint8_t, TicketKeyBytes> key, std::size_t capacity,
              Duration lifetime);
  ~TicketTable();
  TicketTable(const TicketTable &) = delete;
  TicketTable &operator=(const TicketTable &) = delete;

  /// Issues a ticket as a header value. Returns nullopt if `capacity` tickets are still valid.
  std::optional<std::string> issue(TimePoint now);

  /// Looks up the ticket of a request and marks it as started on its first use. Returns
  /// `TicketForeign`, without checking the MAC, if the ticket contains another boot ID. Fails with
  /// - TicketInvalid (not run) if the ticket is malformed or its MAC is wrong,
  /// - TicketMismatch (not run) if the ticket was first used with a different request,
  /// - TicketExpired (execution unknown) if the ticket has expired or its record was removed.
  BeginResult begin(std::string_view ticket, const RequestDigest &digest, TimePoint now);

  /// Records the outcome of a call. Ignored if the ticket already has an outcome, has expired or
  /// was never started. Only the headers that `keepContentHeaders` keeps are recorded. Headers and
  /// body are both dropped if the response exceeds MaxRecordedResponseBytes or would bring the
  /// table over MaxRecordedBytesPerTable.
  void finish(TicketId id, TicketOutcome outcome, TimePoint now);

  /// Removes the records of expired tickets.
  void expire(TimePoint now);

  /// Returns the outcome of a ticket, or null if it has none yet or its record was removed.
  std::shared_ptr<const TicketOutcome> outcome(TicketId id) const;
  /// Returns the number of tickets that count towards the capacity.
  std::size_t size() const { return Records.size(); }
  /// Returns the total size of all recorded responses in bytes.
  std::size_t recordedBytes() const { return RecordedBytes; }

private:
  struct Record {
    TimePoint Expiry{};
    /// Digest of the request that started the call. Empty if no request has used the ticket.
    std::optional<RequestDigest> Digest;
    std::shared_ptr<const TicketOutcome> Outcome;
  };

  Record *find(TicketId id);

  BootId Boot;
  TicketKey Key;
  std::size_t Capacity;
  Duration Lifetime;
  /// Records of the tickets that haven't been removed, ordered by ID. Their expiry never decreases.
  std::deque<Record> Records;
  /// ID of the ticket at the front of `Records`.
  std::uint64_t FirstId = 0;
  std::size_t RecordedBytes = 0;
};

} // namespace wigeonlift
