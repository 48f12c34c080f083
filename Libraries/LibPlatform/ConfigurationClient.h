#pragma once

#include <LibBase/Time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonlift {

/// A value of the configuration service with the service's index at the time of the read.
struct ConfigurationValue {
  std::string Document;
  std::uint64_t Index = 0;
};

/// Key of the catalogue, which is the operators' configuration of services and routes. When it is
/// split into parts, this key holds the root document, which lists the keys of the parts.
inline constexpr std::string_view CatalogueKey = "catalogue";
/// Default of the time for which the configuration service holds a watch open when there is no
/// change.
inline constexpr Duration WatchWait = std::chrono::seconds{10};

/// Client of the configuration service, from which entry VMs read the operators' configuration.
class ConfigurationClient {
public:
  explicit ConfigurationClient(boost::asio::ip::tcp::endpoint endpoint)
      : Endpoint(std::move(endpoint)) {}

  /// Reads the value of a key once. Fails like `fetch`, with kNotFound for status 404, and with
  /// kUnavailable for any other status than 200 or a response without a valid index.
  boost::asio::awaitable<absl::StatusOr<ConfigurationValue>> read(std::string_view key) const;

  /// Waits up to `wait` for a change of the catalogue after `index`; empty when there is none.
  /// Fails like `read`, and with kDeadlineExceeded when no response arrives within 2 s after the
  /// wait.
  boost::asio::awaitable<absl::StatusOr<std::optional<ConfigurationValue>>>
  watch(std::uint64_t index, Duration wait) const;

private:
  boost::asio::ip::tcp::endpoint Endpoint;
};

} // namespace wigeonlift
