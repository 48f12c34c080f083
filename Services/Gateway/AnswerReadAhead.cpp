#include "AnswerReadAhead.h"

#include "ConnectionGuard.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t PartBytes = 64 * 1024;
// A caller that doesn't take a part in this time is slow. Upstreams abort answers that are unread
// for some seconds. Callers that take more than 1 Mbit/s are not affected.
constexpr Duration MaxUnreadTime = std::chrono::milliseconds{500};

} // namespace

AnswerReadAhead::AnswerReadAhead(const asio::any_io_executor &executor,
                                 std::shared_ptr<ConnectionLease> connection, BodyMemory &memory)
    : Connection(std::move(connection)), Upstream(Connection->share()), AllMemory(memory),
      Memory(memory.reserve(0)), PartTaken(executor),
      PartRead(executor, asio::steady_timer::time_point::max()) {}

void AnswerReadAhead::start(TimePoint end) {
  asio::co_spawn(
      PartTaken.get_executor(),
      [self = shared_from_this(), end]() -> asio::awaitable<void> { co_await self->run(end); },
      asio::detached);
}

asio::awaitable<void> AnswerReadAhead::run(TimePoint end) {
  const ConnectionGuard guard{PartTaken.get_executor(), Upstream, end - bootTimeNow()};
  while (!IsEnded) {
    co_await awaitTurn();
    if (IsEnded)
      break;
    std::string bytes(PartBytes, '\0');
    const BodyPart part = co_await Upstream->readBody(bytes);
    bytes.resize(part.Size);
    keep(std::move(bytes));
    IsBroken = part.IsBroken && !IsEnded;
    IsEnded = IsEnded || part.IsLast || part.IsBroken;
    if (part.IsLast)
      Connection->giveBack();
    PartRead.cancel();
  }
}

asio::awaitable<void> AnswerReadAhead::awaitTurn() {
  while (!IsEnded && !mayRead()) {
    if (IsCallerSlow)
      PartTaken.expires_at(asio::steady_timer::time_point::max());
    else
      PartTaken.expires_after(MaxUnreadTime);
    const auto [ec] = co_await PartTaken.async_wait(Completion);
    IsCallerSlow = IsCallerSlow || !ec;
  }
}

bool AnswerReadAhead::mayRead() {
  if (!IsCallerBusy && Parts.empty())
    return true;
  // An answer takes no more than it leaves to others, so that one slow caller can't take it all.
  return IsCallerSlow && WaitingBytes + PartBytes <= AllMemory.room() &&
         Memory.ensure(WaitingBytes + PartBytes);
}

void AnswerReadAhead::keep(std::string part) {
  WaitingBytes += part.size();
  // Small parts would take more memory than their bytes.
  if (!Parts.empty() && Parts.back().size() + part.size() <= PartBytes) {
    Parts.back() += part;
    return;
  }
  if (part.size() < PartBytes)
    part.shrink_to_fit();
  if (!part.empty())
    Parts.push_back(std::move(part));
}

asio::awaitable<std::optional<std::string>> AnswerReadAhead::next() {
  IsCallerBusy = false;
  Memory = AllMemory.reserve(IsCallerSlow ? WaitingBytes : 0);
  PartTaken.cancel();
  while (Parts.empty() && !IsEnded)
    co_await PartRead.async_wait(Completion);
  if (Parts.empty())
    co_return std::nullopt;
  IsCallerBusy = true;
  std::string part = std::move(Parts.front());
  Parts.pop_front();
  WaitingBytes -= part.size();
  co_return part;
}

void AnswerReadAhead::stop() {
  if (!IsEnded)
    Upstream->close();
  IsEnded = true;
  Parts.clear();
  PartTaken.cancel();
}

} // namespace wigeonlift
