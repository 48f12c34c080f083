#include <LibWire/PeerTransport.h>

#include <LibWire/KeyChecker.h>
#include <LibWire/PeerCodec.h>
#include <LibWire/ZmqSocket.h>

#include <zmq.h>

#include <algorithm>
#include <map>
#include <optional>

namespace wigeonlift {

namespace {

constexpr Duration AnswerTimeout = std::chrono::seconds{3};
constexpr Duration IdleTimeout = std::chrono::seconds{60};
constexpr int QueuedMessages = 32;
constexpr std::size_t MaxMessagesPerPoll = 256;
constexpr int ReconnectMs = 200;
constexpr int MaxReconnectMs = 2000;
constexpr int HandshakeMs = 3000;
/// Bytes that CURVE and ZMTP add to a message: command name, nonce, authenticator, flags, and a
/// frame header of 2 bytes, or of 9 when the frame is longer than 255 bytes.
constexpr std::size_t CurveBytes = 33;
constexpr std::size_t ShortFrameBytes = 255;
/// Bytes of one handshake in the direction of the server and of the client.
constexpr std::size_t HandshakeToServerBytes = 586;
constexpr std::size_t HandshakeToClientBytes = 304;

std::size_t wireBytes(std::size_t payload) {
  const std::size_t frame = payload + CurveBytes;
  return frame + (frame > ShortFrameBytes ? 9 : 2);
}

bool isKeyPair(const PeerKeys &keys) {
  char derived[41] = {};
  return keys.SecretKey.size() == 40 && zmq_curve_public(derived, keys.SecretKey.c_str()) == 0 &&
         keys.PublicKey == derived;
}

bool expectsAnswer(const PeerBody &body) {
  return std::holds_alternative<Ping>(body) || std::holds_alternative<CatalogueFetch>(body);
}

} // namespace

/// The sockets of a transport.
class PeerTransport::Sockets {
public:
  explicit Sockets(const PeerKeys &keys)
      : Keys(keys), Checker(Context, keys.PublicKey), Router(Context, ZMQ_ROUTER) {}

  absl::Status start(const std::string &address);
  void send(const PeerDestination &to, const PeerMessage &message, TimePoint now);
  int poll(TimePoint now, const Receiver &receiver);

  TransportCounters Counters;
  std::size_t connections() const { return Dealers.size(); }

private:
  struct Dealer {
    ZmqSocket Socket;
    TimePoint UsedAt{};
    /// When the first message was sent that has had no answer since.
    std::optional<TimePoint> UnansweredSince;
  };

  void setLimits(ZmqSocket &socket);
  Dealer *dealer(const std::string &address, TimePoint now);
  void closeLeastRecentlyUsed();
  bool sendTo(const PeerAddress &to, const PeerMessage &message, const std::string &bytes,
              TimePoint now);
  using Arrivals = std::vector<std::pair<PeerMessage, PeerRoute>>;
  void receiveFrom(ZmqSocket &socket, Arrivals &arrivals, std::optional<TimePoint> *unanswered);
  void checkKeys();
  void closeSilent(TimePoint now);

  PeerKeys Keys;
  ZmqContext Context;
  KeyChecker Checker;
  ZmqSocket Router;
  std::map<std::string, Dealer> Dealers;
};

void PeerTransport::Sockets::setLimits(ZmqSocket &socket) {
  socket.set(ZMQ_SNDHWM, QueuedMessages);
  socket.set(ZMQ_RCVHWM, QueuedMessages);
  socket.set(ZMQ_MAXMSGSIZE, static_cast<std::int64_t>(MaxPeerMessageBytes));
  socket.set(ZMQ_HANDSHAKE_IVL, HandshakeMs);
  socket.set(ZMQ_TCP_KEEPALIVE, 1);
  socket.set(ZMQ_CURVE_SECRETKEY, Keys.SecretKey);
}

absl::Status PeerTransport::Sockets::start(const std::string &address) {
  if (!isKeyPair(Keys))
    return absl::InvalidArgumentError("the peer keys are not a CURVE key pair");
  if (!Checker.start())
    return absl::InternalError("the key checker can't be bound");
  setLimits(Router);
  Router.set(ZMQ_CURVE_SERVER, 1);
  Router.set(ZMQ_ZAP_DOMAIN, std::string{"fleet"});
  Router.set(ZMQ_ROUTER_MANDATORY, 1);
  if (!Router.bind("tcp://" + address))
    return absl::UnavailableError("the peer address " + address + " can't be bound");
  return absl::OkStatus();
}

void PeerTransport::Sockets::closeLeastRecentlyUsed() {
  const auto oldest =
      std::ranges::min_element(Dealers, {}, [](const auto &it) { return it.second.UsedAt; });
  Dealers.erase(oldest);
}

PeerTransport::Sockets::Dealer *PeerTransport::Sockets::dealer(const std::string &address,
                                                               TimePoint now) {
  if (const auto it = Dealers.find(address); it != Dealers.end())
    return &it->second;
  if (Dealers.size() >= MaxConnections)
    closeLeastRecentlyUsed();
  Dealer opened{ZmqSocket{Context, ZMQ_DEALER}, now, {}};
  setLimits(opened.Socket);
  opened.Socket.set(ZMQ_CURVE_PUBLICKEY, Keys.PublicKey);
  opened.Socket.set(ZMQ_CURVE_SERVERKEY, Keys.PublicKey);
  opened.Socket.set(ZMQ_RECONNECT_IVL, ReconnectMs);
  opened.Socket.set(ZMQ_RECONNECT_IVL_MAX, MaxReconnectMs);
  if (!opened.Socket.connect("tcp://" + address))
    return nullptr;
  Counters.SentBytes += HandshakeToServerBytes;
  Counters.ReceivedBytes += HandshakeToClientBytes;
  return &Dealers.emplace(address, std::move(opened)).first->second;
}

bool PeerTransport::Sockets::sendTo(const PeerAddress &to, const PeerMessage &message,
                                    const std::string &bytes, TimePoint now) {
  Dealer *peer = dealer(to.Value, now);
  if (!peer)
    return false;
  peer->UsedAt = now;
  if (expectsAnswer(message.Body) && !peer->UnansweredSince)
    peer->UnansweredSince = now;
  return peer->Socket.send({bytes});
}

void PeerTransport::Sockets::send(const PeerDestination &to, const PeerMessage &message,
                                  TimePoint now) {
  const std::string bytes = encodePeerMessage(message);
  bool isSent = false;
  if (const auto *address = std::get_if<PeerAddress>(&to))
    isSent = sendTo(*address, message, bytes, now);
  else
    isSent = Router.send({std::get<PeerRoute>(to).Value, bytes});
  if (!isSent) {
    ++Counters.Dropped;
    return;
  }
  ++Counters.SentMessages;
  Counters.SentBytes += wireBytes(bytes.size());
}

void PeerTransport::Sockets::receiveFrom(ZmqSocket &socket, Arrivals &arrivals,
                                         std::optional<TimePoint> *unanswered) {
  std::vector<std::string> frames;
  while (arrivals.size() < MaxMessagesPerPoll && socket.receive(frames)) {
    if (unanswered)
      unanswered->reset();
    ++Counters.ReceivedMessages;
    Counters.ReceivedBytes += wireBytes(frames.back().size());
    PeerRoute route{frames.size() == 2 ? frames.front() : std::string{}};
    if (auto message = decodePeerMessage(frames.back()))
      arrivals.emplace_back(std::move(*message), std::move(route));
    else
      ++Counters.Malformed;
  }
}

void PeerTransport::Sockets::checkKeys() {
  const KeyChecker::Verdicts verdicts = Checker.poll();
  Counters.RefusedHandshakes += static_cast<std::uint64_t>(verdicts.Refused);
  Counters.ReceivedBytes += HandshakeToServerBytes * static_cast<std::uint64_t>(verdicts.Admitted);
  Counters.SentBytes += HandshakeToClientBytes * static_cast<std::uint64_t>(verdicts.Admitted);
}

int PeerTransport::Sockets::poll(TimePoint now, const Receiver &receiver) {
  checkKeys();
  closeSilent(now);
  // Messages are collected first, because the receiver may send and so close a connection.
  Arrivals arrivals;
  receiveFrom(Router, arrivals, nullptr);
  for (auto &[address, peer] : Dealers)
    receiveFrom(peer.Socket, arrivals, &peer.UnansweredSince);
  for (const auto &[message, route] : arrivals)
    receiver(message, route);
  return static_cast<int>(arrivals.size());
}

void PeerTransport::Sockets::closeSilent(TimePoint now) {
  std::erase_if(Dealers, [&](const auto &it) {
    const Dealer &peer = it.second;
    const bool isSilent = peer.UnansweredSince && now - *peer.UnansweredSince > AnswerTimeout;
    Counters.Reopened += isSilent ? 1 : 0;
    return isSilent || now - peer.UsedAt > IdleTimeout;
  });
}

PeerTransport::PeerTransport(const PeerKeys &keys) : Impl(std::make_unique<Sockets>(keys)) {}

PeerTransport::~PeerTransport() = default;

absl::Status PeerTransport::start(const std::string &address) { return Impl->start(address); }

void PeerTransport::send(const PeerDestination &to, const PeerMessage &message, TimePoint now) {
  Impl->send(to, message, now);
}

int PeerTransport::poll(TimePoint now, const Receiver &receiver) {
  return Impl->poll(now, receiver);
}

const TransportCounters &PeerTransport::counters() const { return Impl->Counters; }

std::size_t PeerTransport::connections() const { return Impl->connections(); }

} // namespace wigeonlift
