#pragma once

#include <LibHistory/History.h>
#include <LibHistory/Verdict.h>

namespace wigeonlift {

/// I5: an upstream that has been leaving for longer than the limit gets no new work, and a VM that
/// for longer than the limit could reach neither an upstream nor, directly or through others, a VM
/// that reaches it sends that upstream no work.
class LeavingUpstreamCheck {
public:
  explicit LeavingUpstreamCheck(Duration limit = std::chrono::seconds{3}) : Limit(limit) {}

  Verdict check(const History &history) const;

private:
  Duration Limit;
};

} // namespace wigeonlift
