#pragma once

#include <LibBase/Time.h>
#include <LibHttp/HttpMessage.h>
#include <LibPlatform/VmList.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace wigeonlift {

/// Client of the platform's VM list.
class VmListClient {
public:
  explicit VmListClient(boost::asio::ip::tcp::endpoint endpoint) : Endpoint(std::move(endpoint)) {}

  /// Requests the list once. Fails like `fetch`.
  boost::asio::awaitable<absl::StatusOr<HttpResponse>> request() const;
  /// Parses the response to `request` and stores the size of its body. Fails with the error of
  /// `request`, with kUnavailable for any other status than 200, and with kInvalidArgument for a
  /// body that is not a VM list.
  absl::StatusOr<VmList> handleResponse(const absl::StatusOr<HttpResponse> &response);
  /// Body size of the last response with status 200.
  std::size_t listBytes() const { return ListBytes; }

  /// Returns the time between two reads by one VM, from 1 s to 20 min. It grows with the number of
  /// entry VMs, so that all of them together read at most 10 times a second; this holds for up to
  /// 12000 VMs, where the interval reaches 20 min. It also grows with the size of the list, so that
  /// one VM receives at most 800 bytes a second; this holds for lists of up to 960 kB.
  static Duration readInterval(std::size_t entryVms, std::size_t listBytes);

private:
  std::size_t ListBytes = 0;
  boost::asio::ip::tcp::endpoint Endpoint;
};

} // namespace wigeonlift
