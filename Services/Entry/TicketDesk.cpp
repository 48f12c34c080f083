#include "TicketDesk.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);

} // namespace

TicketDesk::TicketDesk(const asio::any_io_executor &executor, BootId boot, std::size_t capacity,
                       Duration lifetime)
    : Executor(executor), Table(boot, randomTicketKey(), capacity, lifetime), Lifetime(lifetime) {}

void TicketDesk::finish(TicketId id, TicketOutcome outcome, TimePoint now) {
  Table.finish(id, std::move(outcome), now);
  const auto node = Waiting.extract(id);
  if (node.empty())
    return;
  for (const TimerPtr &it : node.mapped())
    it->cancel();
}

asio::awaitable<std::shared_ptr<const TicketOutcome>> TicketDesk::wait(TicketId id,
                                                                       TimePoint until) {
  const auto timer = std::make_shared<asio::steady_timer>(Executor, until);
  Waiting[id].push_back(timer);
  co_await timer->async_wait(Completion);
  // A finished call has no list any more.
  if (const auto it = Waiting.find(id); it != Waiting.end()) {
    std::erase(it->second, timer);
    if (it->second.empty())
      Waiting.erase(it);
  }
  co_return Table.outcome(id);
}

} // namespace wigeonlift
