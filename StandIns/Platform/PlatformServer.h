#pragma once

#include <LibBase/Time.h>
#include <LibHttp/HttpServer.h>
#include <StandIns/Common/RequestTarget.h>
#include <StandIns/Platform/PartFolder.h>
#include <StandIns/Platform/ReadMeter.h>
#include <StandIns/Platform/ValueHistory.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <set>
#include <string>
#include <utility>

namespace wigeonlift {

struct PlatformOptions {
  std::string CatalogueFile;
  std::string VmsFile;
  /// Folder with a file `KEY.yaml` for each further key of the configuration service.
  std::string PartsFolder;
  /// How long after a change of its file the VM list shows the change.
  Duration ListLag{};
};

/// The configuration service and the VM list of the platform, served from files, with faults that
/// `POST /admin/...` switches on and off.
class PlatformServer {
public:
  PlatformServer(boost::asio::io_context &context, PlatformOptions options);

  /// Reads the files, binds and begins to serve.
  absl::Status start(const boost::asio::ip::tcp::endpoint &endpoint);
  std::uint16_t port() const { return Server.port(); }
  void stop();

private:
  enum class Outage : std::uint8_t { None, Refusing, Hanging };

  boost::asio::awaitable<void> reloadLoop();
  void reloadFiles(TimePoint now);
  boost::asio::awaitable<HttpResponse> handle(HttpRequest request);
  boost::asio::awaitable<HttpResponse> read(RequestTarget target);
  boost::asio::awaitable<HttpResponse> readCatalogue(RequestTarget target);
  boost::asio::awaitable<void> waitForChange(TimePoint until);
  HttpResponse valueResponse(const IndexedValue *value);
  HttpResponse administer(const RequestTarget &target);
  void setStale(bool isStale, std::string_view keys);
  HttpResponse stats();
  void wakeWaiters();

  boost::asio::io_context &Context;
  PlatformOptions Options;
  HttpServer Server;
  boost::asio::steady_timer ReloadTimer;
  ValueHistory Catalogue;
  PartFolder Parts;
  std::string VmList;
  /// Contents of the list file that are not shown yet, with the time from which they are.
  std::deque<std::pair<TimePoint, std::string>> PendingLists;
  std::set<boost::asio::steady_timer *> Waiters;
  ReadMeter CatalogueReads;
  ReadMeter PartReads;
  ReadMeter ListReads;
  /// Bytes of the values of the configuration service that were sent.
  std::uint64_t ValueBytes = 0;
  Outage Fault = Outage::None;
};

} // namespace wigeonlift
