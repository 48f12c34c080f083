#include <StandIns/Upstream/UpstreamAdmin.h>

#include <StandIns/Common/Responses.h>

#include <utility>

namespace wigeonlift {

namespace {

constexpr int DefaultQueueLimit = 200;

} // namespace

UpstreamAdmin::UpstreamAdmin(boost::asio::io_context &context, UpstreamServer &upstream)
    : Upstream(upstream),
      Server(context, [this](HttpRequest request) -> boost::asio::awaitable<HttpResponse> {
        const auto target = request.target();
        co_return administer(RequestTarget{std::string_view{target.data(), target.size()}});
      }) {}

absl::Status UpstreamAdmin::start(const boost::asio::ip::tcp::endpoint &endpoint) {
  return Server.start(endpoint);
}

HttpResponse UpstreamAdmin::administer(const RequestTarget &target) {
  if (target.path() != "/admin/stats" && !apply(target))
    return jsonResponse(404, R"({"error":"unknown fault"})");
  return jsonResponse(200, Upstream.statsJson());
}

bool UpstreamAdmin::apply(const RequestTarget &target) {
  const std::string &path = target.path();
  if (path == "/admin/straggle")
    Upstream.runner().setSlowness(target.number("factor", 10.0));
  else if (path == "/admin/shed")
    Upstream.runner().setQueueLimit(target.number("limit", 0));
  else if (path == "/admin/fail_fast")
    Upstream.setFailsFast(true);
  else if (path == "/admin/silence")
    Upstream.silenceConnections();
  else if (path == "/admin/revise")
    Upstream.reviseEntities();
  else if (path == "/admin/drain")
    Upstream.drain(std::chrono::milliseconds{target.number("linger_ms", 5000)});
  else if (path == "/admin/kill")
    Upstream.kill();
  else if (path == "/admin/restart")
    return Upstream.restart().ok();
  else if (path == "/admin/normal") {
    Upstream.runner().setSlowness(1);
    Upstream.runner().setQueueLimit(DefaultQueueLimit);
    Upstream.setFailsFast(false);
  } else
    return false;
  return true;
}

} // namespace wigeonlift
