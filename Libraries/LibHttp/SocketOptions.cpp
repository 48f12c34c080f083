#include <LibHttp/SocketOptions.h>

#include <cerrno>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <linux/sockios.h>

namespace wigeonlift {

namespace {

constexpr int KeepaliveIdleSeconds = 5;
constexpr int KeepaliveIntervalSeconds = 2;
constexpr int KeepaliveProbes = 3;
// Longer than a few retransmissions on a lossy path, shorter than the deadlines of most calls'
// users.
constexpr unsigned UserTimeoutMs = 10'000;
// TCP_NOTSENT_LOWAT: limits the unsent data that the kernel buffers for a slow peer, which the
// limits of this process don't count. 64 KiB last 50 ms at 10 Mbit/s, so fast peers don't wait.
constexpr int MaxUnsentBytes = 64 * 1024;

template <typename Value> void setTcpOption(int fd, int option, Value value) {
  // A kernel that refuses an option leaves the connection usable, so the result is not checked.
  ::setsockopt(fd, IPPROTO_TCP, option, &value, sizeof value);
}

/// Result of a peek: positive for data, 0 for a close, -1 with errno otherwise.
ssize_t peek(boost::asio::ip::tcp::socket &socket) {
  char byte = 0;
  return ::recv(socket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
}

bool isWouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }

} // namespace

void setStreamOptions(boost::asio::ip::tcp::socket &socket) {
  const int fd = socket.native_handle();
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setTcpOption(fd, TCP_NODELAY, on);
  setTcpOption(fd, TCP_KEEPIDLE, KeepaliveIdleSeconds);
  setTcpOption(fd, TCP_KEEPINTVL, KeepaliveIntervalSeconds);
  setTcpOption(fd, TCP_KEEPCNT, KeepaliveProbes);
  setTcpOption(fd, TCP_USER_TIMEOUT, UserTimeoutMs);
  setTcpOption(fd, TCP_NOTSENT_LOWAT, MaxUnsentBytes);
}

bool isClosedByPeer(boost::asio::ip::tcp::socket &socket) {
  const ssize_t n = peek(socket);
  return n == 0 || (n < 0 && !isWouldBlock(errno));
}

bool hasPendingInput(boost::asio::ip::tcp::socket &socket) {
  return peek(socket) >= 0 || !isWouldBlock(errno);
}

std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket &socket) {
  int bytes = 0;
  return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 ? static_cast<std::size_t>(bytes)
                                                                : 0;
}

} // namespace wigeonlift
