#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace wigeonlift {

/// Parses `IP:PORT`, an IPv6 address in brackets; empty for anything else. Port 0 is allowed.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

} // namespace wigeonlift
