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

/// Key of the catalogue, or of the root document of a catalogue in parts.
inline constexpr std::string_view CatalogueKey = "catalogue";
/// Time for which the service holds a watch open until there is a change.
inline constexpr Duration WatchWait = std::chrono::seconds{10};

/// Reads the catalogue and its parts from the configuration service.
class ConfigurationClient {
public:
  explicit ConfigurationClient(boost::asio::ip::tcp::endpoint endpoint)
      : Endpoint(std::move(endpoint)) {}

  /// Reads the value of a key once. Fails like `fetch`, with kNotFound when the key has no value,
  /// and with kUnavailable for any other status than 200 or a response without a valid index.
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
