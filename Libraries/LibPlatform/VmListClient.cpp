#include <LibPlatform/VmListClient.h>

#include <LibHttp/HttpFetch.h>

#include <fmt/format.h>

#include <algorithm>

namespace wigeonlift {

namespace {

namespace http = boost::beast::http;

constexpr std::string_view VmListTarget = "/v1/vms";
constexpr auto ReadTimeout = std::chrono::seconds{3};
constexpr Duration ReadIntervalPerVm = std::chrono::milliseconds{100};
constexpr Duration MinReadInterval = std::chrono::seconds{1};
/// Bounds the time until a VM learns of a change of more than 64 rows of the list, which peers
/// don't propagate.
constexpr Duration MaxReadInterval = std::chrono::minutes{20};
/// Callers lengthen each interval at random by an eighth on average, so a VM receives about 710
/// bytes a second.
constexpr double TargetBytesPerSecond = 800;

} // namespace

boost::asio::awaitable<absl::StatusOr<HttpResponse>> VmListClient::request() const {
  return fetch(Endpoint, HttpRequest{http::verb::get, VmListTarget, 11}, ReadTimeout);
}

absl::StatusOr<VmList> VmListClient::handleResponse(const absl::StatusOr<HttpResponse> &response) {
  if (!response.ok())
    return response.status();
  if (response->result() != http::status::ok)
    return absl::UnavailableError(
        fmt::format("the VM list service responded with status {}", response->result_int()));
  ListBytes = response->body().size();
  return parseVmList(response->body());
}

Duration VmListClient::readInterval(std::size_t entryVms, std::size_t listBytes) {
  const Duration byFleet = ReadIntervalPerVm * static_cast<int>(entryVms);
  const Duration bySize = fromSeconds(static_cast<double>(listBytes) / TargetBytesPerSecond);
  return std::clamp(std::max(byFleet, bySize), MinReadInterval, MaxReadInterval);
}

} // namespace wigeonlift
