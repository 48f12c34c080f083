#include <LibWire/ZmqSocket.h>

#include <zmq.h>

namespace wigeonlift {

namespace {

/// Largest number of frames of a message; the rest is dropped. ZAP requests have the most.
constexpr std::size_t MaxFrames = 8;

bool isLastFrame(void *socket) {
  int more = 0;
  std::size_t size = sizeof more;
  return zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &size) != 0 || more == 0;
}

} // namespace

ZmqContext::ZmqContext() : Handle(zmq_ctx_new()) {}

void ZmqContext::Deleter::operator()(void *context) const { zmq_ctx_term(context); }

ZmqSocket::ZmqSocket(const ZmqContext &context, int type)
    : Handle(zmq_socket(context.get(), type)) {
  // A closed socket doesn't wait for peers that are gone.
  set(ZMQ_LINGER, 0);
}

void ZmqSocket::Deleter::operator()(void *socket) const { zmq_close(socket); }

bool ZmqSocket::set(int option, int value) {
  return zmq_setsockopt(Handle.get(), option, &value, sizeof value) == 0;
}

bool ZmqSocket::set(int option, std::int64_t value) {
  return zmq_setsockopt(Handle.get(), option, &value, sizeof value) == 0;
}

bool ZmqSocket::set(int option, const std::string &value) {
  return zmq_setsockopt(Handle.get(), option, value.c_str(), value.size()) == 0;
}

bool ZmqSocket::bind(const std::string &endpoint) {
  return zmq_bind(Handle.get(), endpoint.c_str()) == 0;
}

bool ZmqSocket::connect(const std::string &endpoint) {
  return zmq_connect(Handle.get(), endpoint.c_str()) == 0;
}

bool ZmqSocket::send(const std::vector<std::string_view> &frames) {
  for (std::size_t n = 0; n < frames.size(); ++n) {
    const int more = n + 1 < frames.size() ? ZMQ_SNDMORE : 0;
    if (zmq_send(Handle.get(), frames[n].data(), frames[n].size(), ZMQ_DONTWAIT | more) < 0)
      return false;
  }
  return true;
}

bool ZmqSocket::receive(std::vector<std::string> &frames) {
  frames.clear();
  zmq_msg_t frame;
  zmq_msg_init(&frame);
  bool isComplete = false;
  while (!isComplete && zmq_msg_recv(&frame, Handle.get(), ZMQ_DONTWAIT) >= 0) {
    if (frames.size() < MaxFrames)
      frames.emplace_back(static_cast<const char *>(zmq_msg_data(&frame)), zmq_msg_size(&frame));
    isComplete = isLastFrame(Handle.get());
  }
  zmq_msg_close(&frame);
  return isComplete;
}

} // namespace wigeonlift
