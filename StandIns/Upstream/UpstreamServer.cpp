#include <StandIns/Upstream/UpstreamServer.h>

#include <LibHttp/Listen.h>
#include <StandIns/Common/Clock.h>
#include <StandIns/Common/RequestTarget.h>
#include <StandIns/Common/Responses.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <fmt/format.h>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t MaxRequestBytes = 64 * 1024 * 1024;
/// Time in which a failing upstream answers.
constexpr auto FastFailureTime = std::chrono::microseconds{200};
constexpr auto DrainCheckInterval = std::chrono::milliseconds{5};
constexpr auto HealthInterval = std::chrono::milliseconds{100};
/// Longer than any test, as a silent connection never speaks again.
constexpr auto SilenceLength = std::chrono::hours{24};

std::string_view view(const boost::beast::string_view &text) { return {text.data(), text.size()}; }

/// Deadline by the header that the entry daemon sets.
TimePoint deadlineOf(const HttpRequest &request, TimePoint now) {
  const auto ms = parseNumber<std::int64_t>(view(request["Wigeonlift-Deadline-Ms"]));
  return ms ? now + std::chrono::milliseconds{*ms} : TimePoint::max();
}

HttpResponse refusal() {
  HttpResponse response = jsonResponse(503, R"({"error":"refused"})");
  response.set("Wigeonlift-Refused", "1");
  return response;
}

} // namespace

UpstreamServer::UpstreamServer(asio::io_context &context, const UpstreamOptions &options,
                               HistoryWriter &history)
    : Context(context), Options(options), History(history), Acceptor(context),
      Runner(context, options, history), Writer(options.AnswerBytesPerSecond),
      Health(options.HealthLag) {}

absl::Status UpstreamServer::start(const asio::ip::tcp::endpoint &endpoint) {
  if (absl::Status status = listenOn(Acceptor, endpoint); !status.ok())
    return status;
  boost::system::error_code ec;
  Endpoint = Acceptor.local_endpoint(ec);
  if (Incarnation++ == 0)
    asio::co_spawn(Context, recordHealth(), asio::detached);
  if (Incarnation > 1 || Options.StartsCold)
    Runner.startCold(currentTime());
  if (Runner.isDraining())
    History.write(DrainEvent{Options.Name, Phase::Ended});
  Runner.setDraining(false);
  History.write(StartEvent{Options.Name, ProcessRole::Upstream,
                           fmt::format("{}:{}", Endpoint.address().to_string(), Endpoint.port())});
  asio::co_spawn(Context, acceptLoop(), asio::detached);
  return absl::OkStatus();
}

absl::Status UpstreamServer::restart() {
  if (Acceptor.is_open())
    kill();
  return start(Endpoint);
}

void UpstreamServer::kill() {
  History.write(KillEvent{Options.Name});
  Runner.kill();
  close();
}

void UpstreamServer::drain(Duration linger) {
  History.write(DrainEvent{Options.Name, Phase::Begun});
  History.write(StopEvent{Options.Name, Phase::Begun});
  Runner.setDraining(true);
  asio::co_spawn(Context, finishDrain(linger), asio::detached);
}

void UpstreamServer::silenceConnections() {
  for (const SessionPtr &it : Sessions)
    it->IsSilent = true;
}

std::string UpstreamServer::statsJson() {
  const UpstreamStats &stats = Runner.stats();
  return fmt::format(R"({{"upstream":"{}","port":{},"connections":{},"open":{},"probes":{},)"
                     R"("started":{},"finished":{},"effects":{},"refused":{},"cancelled":{},)"
                     R"("failed_fast":{},"load":"{}"}})"
                     "\n",
                     Options.Name, port(), stats.Connections, Sessions.size(), stats.Probes,
                     stats.Started, stats.Finished, stats.Effects, stats.Refused, stats.Cancelled,
                     stats.FailedFast, Runner.load(currentTime()).toHeader());
}

asio::awaitable<void> UpstreamServer::acceptLoop() {
  const std::uint64_t incarnation = Incarnation;
  while (Acceptor.is_open() && incarnation == Incarnation) {
    auto [ec, socket] = co_await Acceptor.async_accept(Completion);
    if (ec)
      continue;
    boost::system::error_code optionEc;
    socket.set_option(asio::ip::tcp::no_delay{true}, optionEc);
    ++Runner.stats().Connections;
    asio::co_spawn(Context, serve(std::make_shared<Session>(std::move(socket))), asio::detached);
  }
}

asio::awaitable<void> UpstreamServer::serve(SessionPtr session) {
  Sessions.insert(session);
  const bool isBroken = !co_await serveRequests(session);
  if (isBroken && session->IsSilent && Sessions.contains(session)) {
    session->Pause.expires_after(SilenceLength);
    co_await session->Pause.async_wait(Completion);
  }
  Sessions.erase(session);
}

asio::awaitable<bool> UpstreamServer::serveRequests(SessionPtr session) {
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(MaxRequestBytes);
    const auto [ec, n] =
        co_await http::async_read(session->Socket, session->Buf, parser, Completion);
    if (ec || session->IsSilent)
      co_return false;
    const bool keepAlive = parser.get().keep_alive();
    if (!co_await answer(session, parser.release()) || !keepAlive)
      co_return false;
  }
}

asio::awaitable<bool> UpstreamServer::answer(SessionPtr session, HttpRequest request) {
  if (request.method() == http::verb::options)
    co_return co_await writeSmall(session, probeAnswer());
  if (request.target() == "/health")
    co_return co_await writeSmall(session, healthAnswer());
  if (FailsFast)
    co_return co_await failFast(session);
  co_return co_await runCall(session, std::move(request));
}

asio::awaitable<bool> UpstreamServer::runCall(SessionPtr session, HttpRequest request) {
  const WorkRunner::WorkId id = Runner.newId();
  asio::co_spawn(Context, watchForClose(session, id), asio::detached);
  const TimePoint receivedAt = currentTime();
  WorkSpec spec{requestId(request), receivedAt, deadlineOf(request, receivedAt),
                request.method() == http::verb::post};
  const WorkOutcome outcome = co_await Runner.run(id, std::move(spec));
  // Ends the watcher, which is the only operation in progress.
  boost::system::error_code ec;
  session->Socket.cancel(ec);
  if (session->IsSilent || outcome == WorkOutcome::Cancelled) {
    Runner.release(id);
    co_return false;
  }
  if (outcome == WorkOutcome::Refused)
    co_return co_await writeSmall(session, refusal());
  co_return co_await writeAnswer(session, std::move(request), id);
}

asio::awaitable<bool> UpstreamServer::writeAnswer(SessionPtr session, HttpRequest request,
                                                  WorkRunner::WorkId id) {
  const RequestTarget target{view(request.target())};
  const auto bytes = target.number<std::uint64_t>("bytes", 0);
  if (bytes > 0) {
    const Entity entity{target.path(), bytes, Revision};
    const LoadReport load = Runner.load(currentTime());
    const bool isWritten = co_await Writer.write(session, std::move(request), entity, load);
    Runner.release(id);
    co_return isWritten;
  }
  Runner.release(id);
  HttpResponse response =
      jsonResponse(200, Entity{requestId(request), Options.AnswerBytes}.content());
  response.set(http::field::content_type, "application/octet-stream");
  co_return co_await writeSmall(session, std::move(response));
}

asio::awaitable<bool> UpstreamServer::failFast(SessionPtr session) {
  ++Runner.stats().FailedFast;
  session->Pause.expires_after(FastFailureTime);
  co_await session->Pause.async_wait(Completion);
  co_return co_await writeSmall(session, jsonResponse(500, R"({"error":"internal"})"));
}

asio::awaitable<bool> UpstreamServer::writeSmall(SessionPtr session, HttpResponse response) {
  if (session->IsSilent)
    co_return false;
  response.version(11);
  response.set("Wigeonlift-Load", Runner.load(currentTime()).toHeader());
  response.prepare_payload();
  const auto [ec, n] = co_await http::async_write(session->Socket, response, Completion);
  co_return !ec;
}

asio::awaitable<void> UpstreamServer::watchForClose(SessionPtr session, WorkRunner::WorkId id) {
  const auto [ec] = co_await session->Socket.async_wait(asio::socket_base::wait_read, Completion);
  if (ec)
    co_return;
  boost::system::error_code availableEc;
  if (session->Socket.available(availableEc) == 0)
    Runner.cancel(id);
}

asio::awaitable<void> UpstreamServer::finishDrain(Duration linger) {
  const std::uint64_t incarnation = Incarnation;
  asio::steady_timer timer{Context};
  while (!Runner.isIdle()) {
    timer.expires_after(DrainCheckInterval);
    co_await timer.async_wait(Completion);
  }
  timer.expires_after(linger);
  co_await timer.async_wait(Completion);
  if (incarnation != Incarnation || !Runner.isDraining())
    co_return;
  History.write(StopEvent{Options.Name, Phase::Ended});
  close();
}

asio::awaitable<void> UpstreamServer::recordHealth() {
  asio::steady_timer timer{Context};
  while (true) {
    Health.record(Runner.load(currentTime()), currentTime());
    timer.expires_after(HealthInterval);
    co_await timer.async_wait(Completion);
  }
}

void UpstreamServer::close() {
  boost::system::error_code ec;
  Acceptor.close(ec);
  for (const SessionPtr &it : Sessions) {
    it->Pause.cancel();
    it->Socket.close(ec);
  }
}

std::string UpstreamServer::requestId(const HttpRequest &request) const {
  for (const std::string &it : Options.RequestIdHeaders)
    if (const auto value = request[it]; !value.empty())
      return std::string{view(value)};
  return "";
}

HttpResponse UpstreamServer::probeAnswer() {
  ++Runner.stats().Probes;
  return jsonResponse(200, "");
}

HttpResponse UpstreamServer::healthAnswer() const {
  return jsonResponse(
      200, fmt::format(R"({{"status":"ok","load":"{}"}})", Health.shown(currentTime()).toHeader()));
}

} // namespace wigeonlift
