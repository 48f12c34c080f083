#pragma once

#include "DataPath.h"
#include "DataTask.h"

#include <LibHttp/LibHttp.h>

#include <string>

namespace wigeonlift {

/// The operator's port: `GET /state`, `GET /metrics` and `GET /healthz`.
class OperatorPort {
public:
  OperatorPort(boost::asio::io_context &context, DataPath &path);

  void setControlDump(ControlDump dump) { Dump = std::move(dump); }
  absl::Status start();
  std::uint16_t port() const { return Server.port(); }

private:
  boost::asio::awaitable<HttpResponse> answer(HttpRequest request);
  boost::asio::awaitable<std::string> controlPart();
  std::string dataPart() const;
  std::string metrics() const;
  HttpResponse health() const;

  boost::asio::io_context &Context;
  DataPath &Path;
  HttpServer Server;
  ControlDump Dump;
};

} // namespace wigeonlift
