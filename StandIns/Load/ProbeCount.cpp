#include <StandIns/Load/ProbeCount.h>

#include <LibHttp/LibHttp.h>

#include <boost/json/parse.hpp>

#include <chrono>

namespace wigeonlift {

namespace {

constexpr auto AnswerTimeout = std::chrono::seconds{1};

std::uint64_t probesOf(const std::string &address) {
  const auto endpoint = parseEndpoint(address);
  if (!endpoint)
    return 0;
  HttpRequest request{boost::beast::http::verb::get, "/admin/stats", 11};
  const auto response = fetchBlocking(*endpoint, std::move(request), AnswerTimeout);
  if (!response.ok())
    return 0;
  boost::json::error_code ec;
  const boost::json::value document = boost::json::parse(response->body(), ec);
  const boost::json::object *root = ec ? nullptr : document.if_object();
  const boost::json::value *probes = root ? root->if_contains("probes") : nullptr;
  return probes && probes->is_int64() ? static_cast<std::uint64_t>(probes->get_int64()) : 0;
}

} // namespace

std::uint64_t countProbes(std::span<const std::string> adminAddresses) {
  std::uint64_t sum = 0;
  for (const std::string &it : adminAddresses)
    sum += probesOf(it);
  return sum;
}

} // namespace wigeonlift
