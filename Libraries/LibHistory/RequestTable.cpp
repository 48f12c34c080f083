#include <LibHistory/RequestTable.h>

#include <algorithm>

namespace wigeonlift {

namespace {

template <typename Data>
const HistoryEvent *findTry(const std::vector<const HistoryEvent *> &events,
                            std::uint64_t tryNumber) {
  const auto it = std::ranges::find_if(events, [&](const HistoryEvent *event) {
    return std::get<Data>(event->Data).Try == tryNumber;
  });
  return it == events.end() ? nullptr : *it;
}

} // namespace

RequestTable::RequestTable(const History &history) {
  const auto collect = [&]<typename Data>(std::vector<const HistoryEvent *> RequestEvents::*list) {
    history.forEach<Data>([&](const HistoryEvent &event, const Data &data) {
      (ByRequest[data.Request].*list).push_back(&event);
    });
  };
  collect.operator()<CallEvent>(&RequestEvents::Calls);
  collect.operator()<AnswerEvent>(&RequestEvents::Answers);
  collect.operator()<DispatchEvent>(&RequestEvents::Dispatches);
  collect.operator()<WorkEvent>(&RequestEvents::Work);
  collect.operator()<EffectEvent>(&RequestEvents::Effects);
}

const HistoryEvent *RequestTable::callOf(const RequestEvents &events, std::uint64_t tryNumber) {
  return findTry<CallEvent>(events.Calls, tryNumber);
}

const HistoryEvent *RequestTable::answerOf(const RequestEvents &events, std::uint64_t tryNumber) {
  return findTry<AnswerEvent>(events.Answers, tryNumber);
}

} // namespace wigeonlift
