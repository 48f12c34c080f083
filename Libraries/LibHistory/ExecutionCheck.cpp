#include <LibHistory/ExecutionCheck.h>

#include <LibHistory/RequestTable.h>

#include <algorithm>

namespace wigeonlift {

namespace {

/// The caller sent the request again between being told `not-run` and the run.
bool wasSentAgain(const RequestEvents &events, const HistoryEvent &answer,
                  const HistoryEvent &run) {
  return std::ranges::any_of(events.Calls, [&](const HistoryEvent *call) {
    return answer.Time < call->Time && call->Time <= run.Time;
  });
}

void checkNotRun(const RequestEvents &events, const HistoryEvent &answer, Verdict &verdict) {
  for (const auto *runs : {&events.Work, &events.Effects})
    for (const HistoryEvent *it : *runs)
      if (!wasSentAgain(events, answer, *it))
        verdict.addViolation("the caller was told not-run, but an upstream ran the request",
                             {answer, *it});
}

bool isNonIdempotent(const RequestEvents &events) {
  return !events.Calls.empty() &&
         std::get<CallEvent>(events.Calls.front()->Data).Class == CallClass::NonIdempotent;
}

} // namespace

Verdict ExecutionCheck::check(const History &history) {
  Verdict verdict;
  verdict.Invariant = "I3";
  std::uint64_t notRun = 0;
  const RequestTable requests(history);
  for (const auto &[id, events] : requests.all())
    for (const HistoryEvent *it : events.Answers) {
      const Execution executed = std::get<AnswerEvent>(it->Data).Executed;
      if (executed == Execution::NotRun) {
        ++notRun;
        checkNotRun(events, *it, verdict);
      } else if (executed == Execution::Run && isNonIdempotent(events)) {
        ++verdict.LookedAt;
        if (events.Effects.empty())
          verdict.addViolation("the caller was told run, but no upstream ran the request", {*it});
      }
    }
  verdict.LookedAt += notRun;
  verdict.Figures = {{"not_run_answers", notRun}};
  return verdict;
}

} // namespace wigeonlift
