#pragma once

#include <LibHttp/HttpMessage.h>
#include <StandIns/Common/Entity.h>
#include <StandIns/Upstream/EntityWriter.h>
#include <StandIns/Upstream/LaggingHealth.h>
#include <StandIns/Upstream/Session.h>
#include <StandIns/Upstream/UpstreamOptions.h>
#include <StandIns/Upstream/WorkRunner.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <absl/status/status.h>

#include <memory>
#include <set>
#include <string>

namespace wigeonlift {

/// One upstream: its port, its connections and the faults that tests switch on. The path of a
/// request decides nothing; `POST` has an effect, and `?bytes=N` asks for a larger answer.
class UpstreamServer {
public:
  UpstreamServer(boost::asio::io_context &context, const UpstreamOptions &options,
                 HistoryWriter &history);

  /// Binds and takes work.
  absl::Status start(const boost::asio::ip::tcp::endpoint &endpoint);
  /// Begins anew on the same port after `kill` or `drain`, cold.
  absl::Status restart();
  /// Breaks all connections and forgets all work, as the end of the process would.
  void kill();
  /// Refuses new work, finishes the rest, then serves refusals for the given time and closes.
  void drain(Duration linger);
  /// Open connections go silent for good; new ones work.
  void silenceConnections();
  void setFailsFast(bool failsFast) { FailsFast = failsFast; }
  /// From now on all large entities have other content and other entity tags.
  void reviseEntities() { ++Revision; }

  WorkRunner &runner() { return Runner; }
  std::uint16_t port() const { return Endpoint.port(); }
  std::string statsJson();

private:
  using SessionPtr = std::shared_ptr<Session>;

  boost::asio::awaitable<void> acceptLoop();
  boost::asio::awaitable<void> serve(SessionPtr session);
  boost::asio::awaitable<bool> serveRequests(SessionPtr session);
  boost::asio::awaitable<bool> answer(SessionPtr session, HttpRequest request);
  boost::asio::awaitable<bool> runCall(SessionPtr session, HttpRequest request);
  boost::asio::awaitable<bool> writeAnswer(SessionPtr session, HttpRequest request,
                                           WorkRunner::WorkId id);
  boost::asio::awaitable<bool> failFast(SessionPtr session);
  boost::asio::awaitable<bool> writeSmall(SessionPtr session, HttpResponse response);
  boost::asio::awaitable<void> watchForClose(SessionPtr session, WorkRunner::WorkId id);
  boost::asio::awaitable<void> finishDrain(Duration linger);
  boost::asio::awaitable<void> recordHealth();

  void close();
  std::string requestId(const HttpRequest &request) const;
  HttpResponse probeAnswer();
  HttpResponse healthAnswer() const;

  boost::asio::io_context &Context;
  UpstreamOptions Options;
  HistoryWriter &History;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::ip::tcp::endpoint Endpoint;
  WorkRunner Runner;
  EntityWriter Writer;
  LaggingHealth Health;
  std::set<SessionPtr> Sessions;
  std::uint64_t Revision = 0;
  /// Grows with each start, so that the end of an old drain doesn't close a new start.
  std::uint64_t Incarnation = 0;
  bool FailsFast = false;
};

} // namespace wigeonlift
