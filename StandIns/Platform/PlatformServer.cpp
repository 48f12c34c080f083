#include <StandIns/Platform/PlatformServer.h>

#include <LibSettings/EntrySettings.h>
#include <StandIns/Common/Clock.h>
#include <StandIns/Common/Responses.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
constexpr auto ReloadInterval = std::chrono::milliseconds{20};
constexpr std::string_view KeysPath = "/v1/keys/";
constexpr std::string_view CataloguePath = "/v1/keys/catalogue";
constexpr std::int64_t MaxWaitMs = 60'000;

} // namespace

PlatformServer::PlatformServer(asio::io_context &context, PlatformOptions options)
    : Context(context), Options(std::move(options)),
      Server(context, [this](HttpRequest request) { return handle(std::move(request)); }),
      ReloadTimer(context), Parts(Options.PartsFolder) {}

absl::Status PlatformServer::start(const asio::ip::tcp::endpoint &endpoint) {
  reloadFiles(currentTime());
  absl::Status status = Server.start(endpoint);
  if (status.ok())
    asio::co_spawn(Context, reloadLoop(), asio::detached);
  return status;
}

void PlatformServer::stop() {
  Server.stop();
  ReloadTimer.cancel();
  wakeWaiters();
}

asio::awaitable<void> PlatformServer::reloadLoop() {
  while (true) {
    ReloadTimer.expires_after(ReloadInterval);
    const auto [ec] = co_await ReloadTimer.async_wait(Completion);
    if (ec)
      co_return;
    reloadFiles(currentTime());
  }
}

void PlatformServer::reloadFiles(TimePoint now) {
  const std::uint64_t index = Catalogue.served().Index;
  auto catalogue = readFile(Options.CatalogueFile);
  // Read after the root, so that whoever is told of it finds the parts that were written before it.
  Parts.reload();
  // An editor may leave the file empty for a moment; the service never serves that.
  if (catalogue && !catalogue->empty())
    Catalogue.write(std::move(*catalogue));
  if (Catalogue.served().Index != index)
    wakeWaiters();
  const std::string &newest = PendingLists.empty() ? VmList : PendingLists.back().second;
  if (auto text = readFile(Options.VmsFile); text && !text->empty() && *text != newest)
    PendingLists.emplace_back(VmList.empty() ? now : now + Options.ListLag, std::move(*text));
  while (!PendingLists.empty() && PendingLists.front().first <= now) {
    VmList = std::move(PendingLists.front().second);
    PendingLists.pop_front();
  }
}

asio::awaitable<HttpResponse> PlatformServer::handle(HttpRequest request) {
  const RequestTarget target{std::string_view{request.target().data(), request.target().size()}};
  if (target.path().starts_with("/admin/"))
    co_return administer(target);
  co_return co_await read(target);
}

asio::awaitable<HttpResponse> PlatformServer::read(RequestTarget target) {
  const bool isCatalogue = target.path() == CataloguePath;
  const bool isPart = !isCatalogue && target.path().starts_with(KeysPath);
  if (!isCatalogue && !isPart && target.path() != "/v1/vms")
    co_return jsonResponse(404, R"({"error":"unknown path"})");
  (isCatalogue ? CatalogueReads : isPart ? PartReads : ListReads).didRead(currentTime());
  while (Fault == Outage::Hanging)
    co_await waitForChange(currentTime() + std::chrono::milliseconds{MaxWaitMs});
  if (Fault == Outage::Refusing)
    co_return jsonResponse(503, R"({"error":"down"})");
  if (isCatalogue)
    co_return co_await readCatalogue(std::move(target));
  if (isPart)
    co_return valueResponse(Parts.served(target.path().substr(KeysPath.size())));
  co_return jsonResponse(200, VmList);
}

asio::awaitable<HttpResponse> PlatformServer::readCatalogue(RequestTarget target) {
  const auto after = target.number<std::uint64_t>("after", 0);
  const auto waitMs =
      std::clamp<std::int64_t>(target.number<std::int64_t>("wait_ms", 0), 0, MaxWaitMs);
  if (after == 0 || Catalogue.served().Index != after)
    co_return valueResponse(&Catalogue.served());
  co_await waitForChange(currentTime() + std::chrono::milliseconds{waitMs});
  if (Fault != Outage::None)
    co_return jsonResponse(503, R"({"error":"down"})");
  if (Catalogue.served().Index != after)
    co_return valueResponse(&Catalogue.served());
  HttpResponse response = jsonResponse(304, "");
  response.set("X-Index", fmt::to_string(after));
  co_return response;
}

asio::awaitable<void> PlatformServer::waitForChange(TimePoint until) {
  asio::steady_timer timer{Context, until};
  Waiters.insert(&timer);
  co_await timer.async_wait(Completion);
  Waiters.erase(&timer);
}

HttpResponse PlatformServer::valueResponse(const IndexedValue *value) {
  if (!value || value->Index == 0)
    return jsonResponse(404, R"({"error":"no value"})");
  ValueBytes += value->Text.size();
  HttpResponse response = jsonResponse(200, value->Text);
  response.set(boost::beast::http::field::content_type, "application/yaml");
  response.set("X-Index", fmt::to_string(value->Index));
  return response;
}

HttpResponse PlatformServer::administer(const RequestTarget &target) {
  const std::string &path = target.path();
  if (path == "/admin/stats")
    return stats();
  if (path == "/admin/down")
    Fault = target.text("mode") == "hang" ? Outage::Hanging : Outage::Refusing;
  else if (path == "/admin/up")
    Fault = Outage::None;
  else if (path == "/admin/stale" || path == "/admin/fresh")
    setStale(path == "/admin/stale", target.text("keys"));
  else if (path != "/admin/back" || !Catalogue.goBackTo(target.number<std::uint64_t>("version", 0)))
    return jsonResponse(404, R"({"error":"unknown fault or version"})");
  wakeWaiters();
  return stats();
}

/// A replica may have the newest root and older parts, or the other way round.
void PlatformServer::setStale(bool isStale, std::string_view keys) {
  if (keys != "parts")
    Catalogue.setStale(isStale);
  if (keys != "catalogue")
    Parts.setStale(isStale);
}

HttpResponse PlatformServer::stats() {
  const TimePoint now = currentTime();
  return jsonResponse(
      200, fmt::format(R"({{"catalogue_reads":{},"catalogue_reads_last_second":{},)"
                       R"("catalogue_reads_busiest_second":{},"list_reads":{},)"
                       R"("list_reads_last_second":{},"list_reads_busiest_second":{},)"
                       R"("part_reads":{},"part_reads_busiest_second":{},"value_bytes":{},)"
                       R"("waiting":{},"index":{},"stale":{},"down":{}}})"
                       "\n",
                       CatalogueReads.total(), CatalogueReads.lastSecond(now),
                       CatalogueReads.busiestSecond(now), ListReads.total(),
                       ListReads.lastSecond(now), ListReads.busiestSecond(now), PartReads.total(),
                       PartReads.busiestSecond(now), ValueBytes, Waiters.size(),
                       Catalogue.served().Index, Catalogue.isStale(), Fault != Outage::None));
}

void PlatformServer::wakeWaiters() {
  for (asio::steady_timer *it : Waiters)
    it->cancel();
}

} // namespace wigeonlift
