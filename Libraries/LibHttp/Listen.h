#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <absl/status/status.h>

namespace wigeonlift {

/// Opens, binds and listens, so that a restarted process gets its port back at once. Fails with
/// kUnavailable when the address can't be bound.
absl::Status listenOn(boost::asio::ip::tcp::acceptor &acceptor,
                      const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace wigeonlift
