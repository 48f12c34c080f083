#include <LibHttp/UpstreamPool.h>

#include <LibHttp/Clock.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
constexpr Duration ProvenFor = std::chrono::seconds{2};
// Opening takes about 1 ms in a data centre; a lost SYN is repeated after 1 s.
constexpr Duration OpenTimeout = std::chrono::milliseconds{1500};
// Servers close idle connections at their own time; a request must not cross that.
constexpr Duration IdleMargin = std::chrono::seconds{1};
// An upstream that refuses connections is not asked again for a warm one until then.
constexpr Duration WarmRetry = std::chrono::seconds{2};

} // namespace

PoolWait::PoolWait(const asio::any_io_executor &executor)
    : Event(executor, asio::steady_timer::time_point::max()) {}

void PoolWait::abandon() {
  IsAbandoned = true;
  Event.cancel();
}

PoolCounts &PoolCounts::operator+=(const PoolCounts &other) {
  Idle += other.Idle;
  Used += other.Used;
  Opening += other.Opening;
  Waiting += other.Waiting;
  Opened += other.Opened;
  Failed += other.Failed;
  return *this;
}

UpstreamPool::UpstreamPool(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint,
                           int limit)
    : Executor(std::move(executor)), Endpoint(std::move(endpoint)), Limit(std::max(1, limit)) {}

void UpstreamPool::setLimit(int limit) {
  Limit = std::max(1, limit);
  while (total() > Limit && !Idle.empty())
    closeOldestIdle();
}

asio::awaitable<ConnectionLease> UpstreamPool::acquire(ConnectionNeed need,
                                                       std::shared_ptr<PoolWait> wait) {
  const auto self = shared_from_this();
  while (!wait->IsAbandoned) {
    const auto idle = takeIdle(need, bootTimeNow());
    if (idle) {
      ++Used;
      co_return ConnectionLease{self, idle};
    }
    if (total() >= Limit && !Idle.empty())
      closeOldestIdle();
    if (total() < Limit) {
      auto lease = co_await open();
      if (wait->IsAbandoned)
        lease.giveBackUnused();
      co_return lease;
    }
    Waiters.push_back(wait);
    co_await wait->Event.async_wait(Completion);
    std::erase(Waiters, wait);
  }
  // The wake-up that ended the wait may have been meant for the next in line.
  wakeWaiter();
  co_return ConnectionLease{};
}

void UpstreamPool::release(std::shared_ptr<UpstreamConnection> connection) {
  if (!connection->isReusable())
    return discard(connection);
  if (const auto announced = connection->announcedIdleLimit())
    IdleLimit = std::max(*announced - IdleMargin, *announced / 2);
  connection->didAnswer(bootTimeNow());
  releaseUnused(std::move(connection));
}

void UpstreamPool::releaseUnused(std::shared_ptr<UpstreamConnection> connection) {
  --Used;
  if (IsRetired || total() >= Limit || !connection->isOpen())
    connection->close();
  else
    Idle.push_back(std::move(connection));
  wakeWaiter();
}

void UpstreamPool::discard(const std::shared_ptr<UpstreamConnection> &connection) {
  --Used;
  connection->close();
  wakeWaiter();
}

void UpstreamPool::maintain(TimePoint now, int warm) {
  std::erase_if(Idle, [&](const auto &it) {
    return now - it->lastAnswer() > IdleLimit || it->hasPendingInput();
  });
  const auto kept = static_cast<int>(Idle.size()) + Opening;
  if (!IsRetired && kept < warm && total() < Limit && now >= WarmAgainAt)
    openWarm();
}

void UpstreamPool::retire() {
  IsRetired = true;
  Idle.clear();
}

PoolCounts UpstreamPool::counts() const {
  return {.Idle = static_cast<int>(Idle.size()),
          .Used = Used,
          .Opening = Opening,
          .Waiting = static_cast<int>(Waiters.size()),
          .Opened = Opened,
          .Failed = Failed};
}

std::shared_ptr<UpstreamConnection> UpstreamPool::takeIdle(ConnectionNeed need, TimePoint now) {
  while (!Idle.empty() && now - Idle.front()->lastAnswer() > IdleLimit)
    closeOldestIdle();
  while (!Idle.empty()) {
    // The back is the freshest, so if it isn't proven no other one is.
    if (need == ConnectionNeed::Proven && now - Idle.back()->lastAnswer() > ProvenFor)
      return nullptr;
    auto connection = std::move(Idle.back());
    Idle.pop_back();
    if (!connection->hasPendingInput())
      return connection;
  }
  return nullptr;
}

asio::awaitable<ConnectionLease> UpstreamPool::open() {
  ++Opening;
  auto connection = std::make_shared<UpstreamConnection>(Executor, Endpoint);
  const bool isOpen = co_await connection->open(OpenTimeout);
  --Opening;
  if (!isOpen) {
    ++Failed;
    wakeWaiter();
    co_return ConnectionLease{};
  }
  ++Opened;
  ++Used;
  co_return ConnectionLease{shared_from_this(), std::move(connection)};
}

void UpstreamPool::openWarm() {
  const auto run = [](std::shared_ptr<UpstreamPool> self) -> asio::awaitable<void> {
    auto lease = co_await self->open();
    if (lease)
      lease.giveBackUnused();
    else
      self->WarmAgainAt = bootTimeNow() + WarmRetry;
  };
  asio::co_spawn(Executor, run(shared_from_this()), asio::detached);
}

void UpstreamPool::wakeWaiter() {
  if (Waiters.empty())
    return;
  const auto wait = std::move(Waiters.front());
  Waiters.pop_front();
  wait->Event.cancel();
}

int UpstreamPool::total() const { return static_cast<int>(Idle.size()) + Used + Opening; }

void UpstreamPool::closeOldestIdle() {
  Idle.front()->close();
  Idle.pop_front();
}

} // namespace wigeonlift
