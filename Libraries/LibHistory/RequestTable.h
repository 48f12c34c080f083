#pragma once

#include <LibHistory/History.h>

#include <map>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// Events of one request id, each kind in order of time.
struct RequestEvents {
  std::vector<const HistoryEvent *> Calls;
  std::vector<const HistoryEvent *> Answers;
  std::vector<const HistoryEvent *> Dispatches;
  std::vector<const HistoryEvent *> Work;
  std::vector<const HistoryEvent *> Effects;
};

/// Finds the events of a request. It refers to the history, which must outlive it.
class RequestTable {
public:
  explicit RequestTable(const History &history);

  const std::map<std::string_view, RequestEvents> &all() const { return ByRequest; }

  /// Call of a try; null when the history has none.
  static const HistoryEvent *callOf(const RequestEvents &events, std::uint64_t tryNumber);
  /// Answer to a try; null when the history has none.
  static const HistoryEvent *answerOf(const RequestEvents &events, std::uint64_t tryNumber);

private:
  std::map<std::string_view, RequestEvents> ByRequest;
};

} // namespace wigeonlift
