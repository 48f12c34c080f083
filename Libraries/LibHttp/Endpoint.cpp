#include <LibHttp/Endpoint.h>

#include <LibBase/Text.h>

#include <boost/asio/ip/address.hpp>

#include <cstdint>
#include <string>

namespace wigeonlift {

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(std::string{host}, ec);
  if (ec || !port)
    return std::nullopt;
  return boost::asio::ip::tcp::endpoint{address, *port};
}

} // namespace wigeonlift
