#pragma once

#include <LibWire/ZmqSocket.h>

#include <string>

namespace wigeonlift {

/// Admits only clients that have the fleet's key pair. ZeroMQ asks it by the ZAP protocol for each
/// handshake of a context; without it every client that knows the server's key would be admitted.
class KeyChecker {
public:
  /// The key has 40 Z85 characters. `start` is false when it is not valid.
  KeyChecker(const ZmqContext &context, const std::string &publicKey);
  bool start();

  struct Verdicts {
    int Admitted = 0;
    int Refused = 0;
  };
  /// Answers the requests that are waiting.
  Verdicts poll();

private:
  ZmqSocket Socket;
  std::string PublicKey;
  /// The 32 bytes of the key.
  std::string Credentials;
};

} // namespace wigeonlift
