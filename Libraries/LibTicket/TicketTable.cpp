#include <LibTicket/TicketTable.h>

#include <sodium.h>

#include <algorithm>
#include <utility>

namespace wigeonlift {

TicketTable::TicketTable(BootId boot, std::span<const std::uint8_t, TicketKeyBytes> key,
                         std::size_t capacity, Duration lifetime)
    : Boot(boot), Capacity(capacity), Lifetime(lifetime) {
  std::ranges::copy(key, Key.begin());
}

TicketTable::~TicketTable() { sodium_memzero(Key.data(), Key.size()); }

std::optional<std::string> TicketTable::issue(TimePoint now) {
  expire(now);
  if (Records.size() >= Capacity)
    return std::nullopt;
  // `expire` removes records from the front only, so a record must not expire before an earlier
  // one.
  const TimePoint lastExpiry = Records.empty() ? now : Records.back().Expiry;
  const Ticket ticket{Boot, TicketId{FirstId + Records.size()},
                      std::max(lastExpiry, now + Lifetime)};
  Records.push_back({ticket.Expiry, std::nullopt, nullptr});
  return ticket.toText(Key);
}

BeginResult TicketTable::begin(std::string_view text, const RequestDigest &digest, TimePoint now) {
  const std::optional<BootId> issuer = Ticket::bootIdOf(text);
  if (issuer && *issuer != Boot)
    return TicketForeign{*issuer};
  const std::optional<Ticket> ticket = Ticket::fromText(text, Key);
  if (!ticket)
    return Failure{FailureKind::TicketInvalid, Execution::NotRun, {}};
  Record *record = find(ticket->Id);
  if (!record || now >= ticket->Expiry)
    return Failure{FailureKind::TicketExpired, Execution::Unknown, {}};
  if (!record->Digest) {
    record->Digest = digest;
    return TicketStarted{ticket->Id};
  }
  if (*record->Digest != digest)
    return Failure{FailureKind::TicketMismatch, Execution::NotRun, {}};
  if (record->Outcome)
    return TicketFinished{record->Outcome};
  return TicketRunning{ticket->Id};
}

void TicketTable::finish(TicketId id, TicketOutcome outcome, TimePoint now) {
  expire(now);
  Record *record = find(id);
  if (!record || !record->Digest || record->Outcome)
    return;
  outcome.keepContentHeaders();
  const std::size_t bytes = outcome.size();
  if (bytes > MaxRecordedResponseBytes || RecordedBytes + bytes > MaxRecordedBytesPerTable)
    outcome.dropContent();
  RecordedBytes += outcome.size();
  record->Outcome = std::make_shared<const TicketOutcome>(std::move(outcome));
}

void TicketTable::expire(TimePoint now) {
  while (!Records.empty() && Records.front().Expiry <= now) {
    if (Records.front().Outcome)
      RecordedBytes -= Records.front().Outcome->size();
    Records.pop_front();
    ++FirstId;
  }
}

std::shared_ptr<const TicketOutcome> TicketTable::outcome(TicketId id) const {
  if (id.Value < FirstId || id.Value - FirstId >= Records.size())
    return nullptr;
  return Records[id.Value - FirstId].Outcome;
}

TicketTable::Record *TicketTable::find(TicketId id) {
  if (id.Value < FirstId || id.Value - FirstId >= Records.size())
    return nullptr;
  return &Records[id.Value - FirstId];
}

} // namespace wigeonlift
