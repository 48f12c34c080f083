#pragma once

#include <LibMembership/PeerMessage.h>
#include <LibSettings/LibSettings.h>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace wigeonlift {

/// Counters of a transport since its start. Bytes are those of messages with the frames and the
/// encryption of CURVE, without TCP and IP headers.
struct TransportCounters {
  std::uint64_t SentMessages = 0;
  std::uint64_t SentBytes = 0;
  std::uint64_t ReceivedMessages = 0;
  std::uint64_t ReceivedBytes = 0;
  /// Messages that were not sent, because a queue was full or an address was invalid.
  std::uint64_t Dropped = 0;
  /// Received messages that could not be decoded.
  std::uint64_t Malformed = 0;
  /// Connections that were closed and will be opened anew, because the peer gave no answer.
  std::uint64_t Reopened = 0;
  /// Handshakes that failed, as with a client that has another key.
  std::uint64_t RefusedHandshakes = 0;
};

/// Exchanges messages with peers over ZeroMQ with CURVE. One ROUTER socket takes the requests of
/// peers; one DEALER socket for each peer address carries this VM's own. All sockets are used
/// on one thread, and no call blocks.
class PeerTransport {
public:
  /// Takes a message and the route for an answer.
  using Receiver = std::function<void(const PeerMessage &, const PeerRoute &)>;
  /// Bounds the connections that this VM opens; the least recently used one is closed.
  static constexpr std::size_t MaxConnections = 20;

  explicit PeerTransport(const PeerKeys &keys);
  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// Binds the address. Fails with kInvalidArgument for keys that are not valid and with
  /// kUnavailable when the address can't be bound.
  absl::Status start(const std::string &address);
  /// Queues a message; drops it when the peer's queue is full.
  void send(const PeerDestination &to, const PeerMessage &message, TimePoint now);
  /// Hands over all messages that have arrived, up to a bounded number, and closes connections to
  /// peers that gave no answer for 3 s, so that the next message opens a new one. Returns the
  /// number of messages. To be called about every 20 ms: that costs less code than one descriptor
  /// for each of the sockets, and 50 wake-ups a second are about 0.1% of a core.
  int poll(TimePoint now, const Receiver &receiver);
  const TransportCounters &counters() const;
  std::size_t connections() const;

private:
  class Sockets;
  std::unique_ptr<Sockets> Impl;
};

} // namespace wigeonlift
