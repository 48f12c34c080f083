#include <LibWire/KeyChecker.h>

#include <zmq.h>

namespace wigeonlift {

namespace {

constexpr const char *Endpoint = "inproc://zeromq.zap.01";
constexpr std::size_t KeyBytes = 32;
/// Frames of a ZAP request: version, request id, domain, address, identity, mechanism, credentials.
constexpr std::size_t RequestFrames = 7;

} // namespace

KeyChecker::KeyChecker(const ZmqContext &context, const std::string &publicKey)
    : Socket(context, ZMQ_REP), PublicKey(publicKey), Credentials(KeyBytes, '\0') {}

bool KeyChecker::start() {
  auto *bytes = reinterpret_cast<std::uint8_t *>(Credentials.data());
  return zmq_z85_decode(bytes, PublicKey.c_str()) != nullptr && Socket.bind(Endpoint);
}

KeyChecker::Verdicts KeyChecker::poll() {
  Verdicts verdicts;
  std::vector<std::string> request;
  while (Socket.receive(request)) {
    const bool isComplete = request.size() == RequestFrames;
    const bool isAdmitted = isComplete && request[5] == "CURVE" && request[6] == Credentials;
    ++(isAdmitted ? verdicts.Admitted : verdicts.Refused);
    const std::string id = isComplete ? request[1] : std::string{};
    Socket.send({"1.0", id, isAdmitted ? "200" : "400", isAdmitted ? "" : "unknown key", "", ""});
  }
  return verdicts;
}

} // namespace wigeonlift
