#pragma once

#include <LibHttp/HttpServer.h>
#include <StandIns/Common/RequestTarget.h>
#include <StandIns/Upstream/UpstreamServer.h>

namespace wigeonlift {

/// Port on which tests switch the faults of one upstream.
class UpstreamAdmin {
public:
  UpstreamAdmin(boost::asio::io_context &context, UpstreamServer &upstream);

  absl::Status start(const boost::asio::ip::tcp::endpoint &endpoint);

private:
  HttpResponse administer(const RequestTarget &target);
  bool apply(const RequestTarget &target);

  UpstreamServer &Upstream;
  HttpServer Server;
};

} // namespace wigeonlift
