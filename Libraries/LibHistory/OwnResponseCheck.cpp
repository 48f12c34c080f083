#include <LibHistory/OwnResponseCheck.h>

#include <LibHistory/RequestTable.h>

namespace wigeonlift {

namespace {

void checkAnswer(const RequestEvents &events, const HistoryEvent &event, Verdict &verdict) {
  const auto &answer = std::get<AnswerEvent>(event.Data);
  const HistoryEvent *call = RequestTable::callOf(events, answer.Try);
  if (!call) {
    verdict.addViolation("an answer to a request that nobody made", {event});
    return;
  }
  if (RequestTable::answerOf(events, answer.Try) != &event)
    verdict.addViolation("a second answer to one request", {*call, event});
  if (!answer.IsOwn)
    verdict.addViolation("the content belongs to another request", {*call, event});
  if (!answer.Failure && !answer.IsWhole)
    verdict.addViolation("the content is incomplete but no failure was shown", {*call, event});
}

} // namespace

Verdict OwnResponseCheck::check(const History &history) {
  Verdict verdict;
  verdict.Invariant = "I2";
  const RequestTable requests(history);
  for (const auto &[id, events] : requests.all())
    for (const HistoryEvent *it : events.Answers) {
      ++verdict.LookedAt;
      checkAnswer(events, *it, verdict);
    }
  return verdict;
}

} // namespace wigeonlift
