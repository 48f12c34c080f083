#pragma once

#include <LibBase/LibBase.h>
#include <LibHistory/LibHistory.h>
#include <StandIns/Upstream/ServiceTimes.h>
#include <StandIns/Upstream/UpstreamOptions.h>
#include <StandIns/Upstream/UpstreamStats.h>
#include <StandIns/Upstream/WorkQueue.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <unordered_map>

namespace wigeonlift {

/// A call as the upstream sees it.
struct WorkSpec {
  /// Id of the caller's request, for the history.
  std::string Request;
  TimePoint ReceivedAt{};
  TimePoint Deadline = TimePoint::max();
  /// The call is not idempotent: it has an effect when it has run.
  bool HasEffect = false;
};

enum class WorkOutcome : std::uint8_t {
  Finished,  ///< The work has run and holds its slot until `release`.
  Refused,   ///< The work was not run and won't be.
  Cancelled, ///< The work was cancelled or killed.
};

/// Runs the work of one upstream in its slots.
class WorkRunner {
public:
  using WorkId = WorkQueue::WorkId;

  WorkRunner(boost::asio::io_context &context, const UpstreamOptions &options,
             HistoryWriter &history);

  WorkId newId() { return ++LastId; }
  /// Waits for a slot and for the service time.
  boost::asio::awaitable<WorkOutcome> run(WorkId id, WorkSpec spec);
  /// Frees the slot of finished work.
  void release(WorkId id);
  /// Cancels work, except work with an effect that has started: it goes on to its effect.
  void cancel(WorkId id);
  /// Ends all work without effects, as the end of the process would.
  void kill();

  void startCold(TimePoint now) { Times.startCold(now, Options.WarmUp); }
  void setSlowness(double factor) { Times.setFactor(factor); }
  void setQueueLimit(int limit) { Queue.setQueueLimit(limit); }
  void setDraining(bool isDraining) { IsDraining = isDraining; }
  bool isDraining() const { return IsDraining; }
  bool isIdle() const { return Queue.isIdle(); }
  LoadReport load(TimePoint now) const;
  UpstreamStats &stats() { return Stats; }

private:
  struct Work {
    explicit Work(boost::asio::io_context &context) : Timer(context) {}
    boost::asio::steady_timer Timer;
    bool HasEffect = false;
    bool HasStarted = false;
    bool IsCancelled = false;
  };

  boost::asio::awaitable<bool> waitForSlot(std::shared_ptr<Work> work, TimePoint deadline);
  bool startsTooLate(TimePoint deadline, TimePoint now) const;
  WorkOutcome drop(WorkId id, WorkOutcome outcome);

  boost::asio::io_context &Context;
  UpstreamOptions Options;
  HistoryWriter &History;
  WorkQueue Queue;
  ServiceTimes Times;
  UpstreamStats Stats;
  std::unordered_map<WorkId, std::shared_ptr<Work>> Works;
  WorkId LastId = 0;
  bool IsDraining = false;
};

} // namespace wigeonlift
