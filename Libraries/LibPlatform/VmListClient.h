#pragma once

#include <LibBase/Time.h>
#include <LibHttp/HttpMessage.h>
#include <LibPlatform/VmList.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace wigeonlift {

/// Reads the platform's VM list.
class VmListClient {
public:
  explicit VmListClient(boost::asio::ip::tcp::endpoint endpoint) : Endpoint(std::move(endpoint)) {}

  /// Asks for the list once. Fails as `fetch` does.
  boost::asio::awaitable<absl::StatusOr<HttpResponse>> request() const;
  /// Judges the response. Fails with kUnavailable for a status other than 200 and with
  /// kInvalidArgument for a body that is not a list.
  absl::StatusOr<VmList> handleResponse(const absl::StatusOr<HttpResponse> &response);
  /// Size of the list that was read last.
  std::size_t listBytes() const { return ListBytes; }

  /// Time between two reads of one VM. It grows with the fleet, so that all entry VMs together
  /// read at most 10 times a second up to 300 VMs, and with the size of the list, so that a VM
  /// receives about 800 bytes a second, up to 20 min.
  static Duration readInterval(std::size_t entryVms, std::size_t listBytes);

private:
  std::size_t ListBytes = 0;
  boost::asio::ip::tcp::endpoint Endpoint;
};

} // namespace wigeonlift
