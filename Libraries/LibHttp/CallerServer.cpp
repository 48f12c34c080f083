#include <LibHttp/CallerServer.h>

#include <LibHttp/Listen.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
// Accepting fails at once while the process has no free descriptor; this keeps it from spinning.
constexpr auto AcceptRetry = std::chrono::milliseconds{50};

} // namespace

CallerServer::CallerServer(asio::io_context &context, CallerHandler handler)
    : Handler(std::move(handler)), Acceptor(context) {}

absl::Status CallerServer::start(const asio::ip::tcp::endpoint &endpoint) {
  if (absl::Status status = listenOn(Acceptor, endpoint); !status.ok())
    return status;
  asio::co_spawn(Acceptor.get_executor(), acceptLoop(), asio::detached);
  return absl::OkStatus();
}

std::uint16_t CallerServer::port() const {
  boost::system::error_code ec;
  return Acceptor.local_endpoint(ec).port();
}

void CallerServer::stopAccepting() {
  // The kernel has opened connections that were not accepted yet. Their callers may have sent a
  // request, and closing the acceptor would reset them.
  boost::system::error_code ec;
  Acceptor.non_blocking(true, ec);
  while (!ec) {
    asio::ip::tcp::socket socket{Acceptor.get_executor()};
    Acceptor.accept(socket, ec);
    if (!ec)
      serve(std::move(socket));
  }
  Acceptor.close(ec);
}

void CallerServer::closeExpired(TimePoint now) {
  for (const auto &it : Connections)
    if (it->expiresAt() <= now)
      it->close();
}

void CallerServer::closeIdleSince(TimePoint time) {
  for (const auto &it : Connections)
    if (it->isIdleSince(time))
      it->close();
}

void CallerServer::closeAll() {
  for (const auto &it : Connections)
    it->close();
}

bool CallerServer::isBusy() const {
  return std::ranges::any_of(Connections, [](const auto &it) { return it->isBusy(); });
}

asio::awaitable<void> CallerServer::acceptLoop() {
  while (Acceptor.is_open()) {
    auto [ec, socket] = co_await Acceptor.async_accept(Completion);
    if (!ec) {
      serve(std::move(socket));
    } else if (Acceptor.is_open()) {
      asio::steady_timer timer{Acceptor.get_executor(), AcceptRetry};
      co_await timer.async_wait(Completion);
    }
  }
}

void CallerServer::serve(asio::ip::tcp::socket socket) {
  const auto it =
      Connections.insert(Connections.end(), std::make_shared<CallerConnection>(std::move(socket)));
  asio::co_spawn(Acceptor.get_executor(), Handler(*it), [this, it](const std::exception_ptr &) {
    (*it)->close();
    Connections.erase(it);
  });
}

} // namespace wigeonlift
