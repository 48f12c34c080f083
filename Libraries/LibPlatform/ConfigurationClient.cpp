#include <LibPlatform/ConfigurationClient.h>

#include <LibBase/Text.h>
#include <LibHttp/HttpFetch.h>

#include <fmt/format.h>

namespace wigeonlift {

namespace {

namespace http = boost::beast::http;

/// Time for the response in addition to the time for which the service holds the watch open.
constexpr auto WatchResponseMargin = std::chrono::seconds{2};
constexpr auto ReadTimeout = std::chrono::seconds{3};
constexpr std::string_view KeysPath = "/v1/keys/";

absl::StatusOr<ConfigurationValue> parseValue(HttpResponse response) {
  if (response.result() == http::status::not_found)
    return absl::NotFoundError("the configuration service responded with status 404");
  if (response.result() != http::status::ok)
    return absl::UnavailableError(
        fmt::format("the configuration service responded with status {}", response.result_int()));
  const auto header = response["X-Index"];
  const auto index = parseNumber<std::uint64_t>({header.data(), header.size()});
  if (!index)
    return absl::UnavailableError("the response of the configuration service has no valid X-Index");
  return ConfigurationValue{std::move(response.body()), *index};
}

} // namespace

boost::asio::awaitable<absl::StatusOr<ConfigurationValue>>
ConfigurationClient::read(std::string_view key) const {
  HttpRequest request{http::verb::get, fmt::format("{}{}", KeysPath, key), 11};
  absl::StatusOr<HttpResponse> response = co_await fetch(Endpoint, std::move(request), ReadTimeout);
  if (!response.ok())
    co_return response.status();
  co_return parseValue(std::move(*response));
}

boost::asio::awaitable<absl::StatusOr<std::optional<ConfigurationValue>>>
ConfigurationClient::watch(std::uint64_t index, Duration wait) const {
  const std::string target = fmt::format("{}{}?after={}&wait_ms={}", KeysPath, CatalogueKey, index,
                                         static_cast<std::int64_t>(toMilliseconds(wait)));
  HttpRequest request{http::verb::get, target, 11};
  absl::StatusOr<HttpResponse> response =
      co_await fetch(Endpoint, std::move(request), wait + WatchResponseMargin);
  if (!response.ok())
    co_return response.status();
  if (response->result() == http::status::not_modified)
    co_return std::nullopt;
  absl::StatusOr<ConfigurationValue> value = parseValue(std::move(*response));
  if (!value.ok())
    co_return value.status();
  co_return std::move(*value);
}

} // namespace wigeonlift
