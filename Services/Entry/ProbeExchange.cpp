#include "ProbeExchange.h"

#include "EntryHeaders.h"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <optional>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// A report that took longer to arrive says little about the load of now.
constexpr auto ProbeTimeout = std::chrono::seconds{1};

struct RunningProbe {
  explicit RunningProbe(const asio::any_io_executor &executor)
      : Timer(executor, ProbeTimeout), Wait(std::make_shared<PoolWait>(executor)) {}

  void abandon() {
    Wait->abandon();
    if (Connection)
      Connection->close();
  }

  asio::steady_timer Timer;
  std::shared_ptr<PoolWait> Wait;
  ConnectionLease Connection;
};

HttpRequestHead probeHead() {
  HttpRequestHead head;
  head.version(11);
  head.method(http::verb::options);
  head.target("*");
  head.set(http::field::host, "upstream");
  return head;
}

asio::awaitable<std::optional<LoadReport>> ask(std::shared_ptr<ServiceRunner> service, ProbeId id,
                                               std::shared_ptr<RunningProbe> probe) {
  const auto connection = probe->Connection.share();
  const HttpRequestHead head = probeHead();
  const bool isSent = co_await connection->write(head, {});
  service->didWriteProbe(id);
  const HttpResponseHead *response = nullptr;
  if (isSent)
    response = co_await connection->readHead(false);
  if (!response)
    co_return std::nullopt;
  const auto report = LoadReport::fromHeader(headerValue(*response, LoadHeader));
  std::array<char, 1024> buf{};
  co_await connection->readBody(buf);
  probe->Connection.giveBack();
  co_return report;
}

} // namespace

asio::awaitable<void> exchangeProbe(std::shared_ptr<ServiceRunner> service, StartProbe command) {
  const auto probe = std::make_shared<RunningProbe>(service->parts().Executor);
  probe->Timer.async_wait([weak = std::weak_ptr{probe}](const boost::system::error_code &ec) {
    const auto pending = weak.lock();
    if (!ec && pending)
      pending->abandon();
  });
  if (const auto pool = service->poolOf(command.Upstream))
    probe->Connection = co_await pool->acquire(ConnectionNeed::Any, probe->Wait);
  if (!probe->Connection)
    co_return service->probeNotSent(command);
  if (!service->mayWriteProbe(command))
    co_return probe->Connection.giveBackUnused();
  const auto report = co_await ask(service, command.Probe, probe);
  service->probeEnded(command.Probe, report);
}

} // namespace wigeonlift
