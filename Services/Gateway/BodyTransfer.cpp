#include "BodyTransfer.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace wigeonlift {

namespace {

// A body that was written is acknowledged within a round trip unless the upstream reads slowly.
constexpr Duration CheckInterval = std::chrono::milliseconds{10};
// 1 MB takes 0.8 s on the link of a small VM.
constexpr Duration LogAfter = std::chrono::seconds{1};

} // namespace

struct BodyTransfer::State : std::enable_shared_from_this<State> {
  State(const boost::asio::any_io_executor &executor, std::shared_ptr<ServiceTask> service,
        const RunningAttempt &attempt)
      : Service(std::move(service)), Upstream(attempt.Upstream), Request(attempt.Request),
        Connection(attempt.Connection->share()), StartedAt(bootTimeNow()), Timer(executor) {}

  void check() {
    if (!IsEnded && (!Connection->isOpen() || Connection->unacknowledgedBytes() == 0))
      end();
    if (IsEnded)
      return;
    Timer.expires_after(CheckInterval);
    Timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
      if (!ec)
        self->check();
    });
  }

  void end() {
    if (std::exchange(IsEnded, true))
      return;
    Timer.cancel();
    const TimePoint now = bootTimeNow();
    if (now - StartedAt >= LogAfter)
      Service->log().didReadBodySlowly(*Request, Upstream->Record.Id, now - StartedAt);
    // Deferred, since this may be called while the service executes commands, or from a destructor.
    boost::asio::post(Timer.get_executor(),
                      [service = Service, upstream = Upstream] { service->bodyTaken(*upstream); });
  }

  std::shared_ptr<ServiceTask> Service;
  std::shared_ptr<const KnownUpstream> Upstream;
  std::shared_ptr<const ProxiedRequest> Request;
  std::shared_ptr<UpstreamConnection> Connection;
  TimePoint StartedAt;
  bool IsEnded = false;
  boost::asio::steady_timer Timer;
};

BodyTransfer::BodyTransfer(const boost::asio::any_io_executor &executor,
                           std::shared_ptr<ServiceTask> service, const RunningAttempt &attempt) {
  if (attempt.Request->Spec.BodyBytes > RequestSpec::MaxSmallBodyBytes)
    Shared = std::make_shared<State>(executor, std::move(service), attempt);
}

BodyTransfer::~BodyTransfer() {
  if (Shared)
    Shared->end();
}

void BodyTransfer::didWrite() {
  if (Shared)
    Shared->check();
}

} // namespace wigeonlift
