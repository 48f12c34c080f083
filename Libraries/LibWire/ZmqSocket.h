#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// A ZeroMQ context with one I/O thread.
class ZmqContext {
public:
  ZmqContext();
  void *get() const { return Handle.get(); }

private:
  struct Deleter {
    void operator()(void *context) const;
  };
  std::unique_ptr<void, Deleter> Handle;
};

/// A ZeroMQ socket whose calls neither block nor throw.
class ZmqSocket {
public:
  ZmqSocket(const ZmqContext &context, int type);

  /// Sets an option; false when ZeroMQ refuses the value.
  bool set(int option, int value);
  bool set(int option, std::int64_t value);
  bool set(int option, const std::string &value);
  bool bind(const std::string &endpoint);
  bool connect(const std::string &endpoint);
  /// Sends the frames of one message; false when it can't be queued.
  bool send(const std::vector<std::string_view> &frames);
  /// Takes one message; false when none is waiting.
  bool receive(std::vector<std::string> &frames);

private:
  struct Deleter {
    void operator()(void *socket) const;
  };
  std::unique_ptr<void, Deleter> Handle;
};

} // namespace wigeonlift
