#include <LibHttp/Listen.h>

namespace wigeonlift {

absl::Status listenOn(boost::asio::ip::tcp::acceptor &acceptor,
                      const boost::asio::ip::tcp::endpoint &endpoint) {
  boost::system::error_code ec;
  acceptor.open(endpoint.protocol(), ec);
  if (!ec)
    acceptor.set_option(boost::asio::socket_base::reuse_address{true}, ec);
  if (!ec)
    acceptor.bind(endpoint, ec);
  if (!ec)
    acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
  return ec ? absl::UnavailableError(ec.message()) : absl::OkStatus();
}

} // namespace wigeonlift
