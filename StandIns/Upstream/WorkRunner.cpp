#include <StandIns/Upstream/WorkRunner.h>

#include <StandIns/Common/Clock.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);

} // namespace

WorkRunner::WorkRunner(asio::io_context &context, const UpstreamOptions &options,
                       HistoryWriter &history)
    : Context(context), Options(options), History(history),
      Queue(options.Slots, options.QueueLimit), Times(options.MeanMs, options.Sigma, options.Seed) {
}

asio::awaitable<WorkOutcome> WorkRunner::run(WorkId id, WorkSpec spec) {
  if (IsDraining || startsTooLate(spec.Deadline, currentTime()) ||
      Queue.submit(id) == WorkQueue::Admission::Refused) {
    ++Stats.Refused;
    co_return WorkOutcome::Refused;
  }
  auto work = std::make_shared<Work>(Context);
  work->HasEffect = spec.HasEffect;
  Works.emplace(id, work);
  work->HasStarted = Queue.isRunning(id);
  if (!co_await waitForSlot(work, spec.Deadline))
    co_return drop(id, work->IsCancelled ? WorkOutcome::Cancelled : WorkOutcome::Refused);
  ++Stats.Started;
  History.write(WorkEvent{Options.Name, spec.Request, spec.ReceivedAt});
  work->Timer.expires_after(Times.draw(currentTime()));
  co_await work->Timer.async_wait(Completion);
  if (work->IsCancelled)
    co_return drop(id, WorkOutcome::Cancelled);
  ++Stats.Finished;
  if (spec.HasEffect) {
    ++Stats.Effects;
    History.write(EffectEvent{Options.Name, spec.Request});
  }
  co_return WorkOutcome::Finished;
}

asio::awaitable<bool> WorkRunner::waitForSlot(std::shared_ptr<Work> work, TimePoint deadline) {
  if (!work->HasStarted) {
    work->Timer.expires_at(deadline);
    co_await work->Timer.async_wait(Completion);
  }
  co_return work->HasStarted && !work->IsCancelled && currentTime() < deadline;
}

void WorkRunner::release(WorkId id) {
  if (Works.erase(id) == 0)
    return;
  const auto next = Queue.remove(id);
  if (!next)
    return;
  Work &work = *Works.at(*next);
  work.HasStarted = true;
  work.Timer.cancel();
}

void WorkRunner::cancel(WorkId id) {
  const auto it = Works.find(id);
  if (it == Works.end() || (it->second->HasEffect && it->second->HasStarted))
    return;
  it->second->IsCancelled = true;
  it->second->Timer.cancel();
}

void WorkRunner::kill() {
  for (const auto &[id, work] : Works) {
    work->IsCancelled = true;
    work->Timer.cancel();
  }
}

LoadReport WorkRunner::load(TimePoint now) const {
  const UpstreamState state = IsDraining          ? UpstreamState::Draining
                              : Times.isCold(now) ? UpstreamState::Warming
                                                  : UpstreamState::Ready;
  return {Queue.inFlight(), Queue.queued(), Queue.slots(), state};
}

bool WorkRunner::startsTooLate(TimePoint deadline, TimePoint now) const {
  if (Queue.inFlight() < Queue.slots())
    return deadline <= now;
  return deadline - now < Times.mean() * (Queue.queued() + 1) / Queue.slots();
}

WorkOutcome WorkRunner::drop(WorkId id, WorkOutcome outcome) {
  ++(outcome == WorkOutcome::Refused ? Stats.Refused : Stats.Cancelled);
  release(id);
  return outcome;
}

} // namespace wigeonlift
