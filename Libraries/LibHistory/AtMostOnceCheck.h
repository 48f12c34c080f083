#pragma once

#include <LibHistory/History.h>
#include <LibHistory/Verdict.h>

namespace wigeonlift {

/// I4: what a caller wants done at most once has at most one effect, over all tries, tickets and
/// upstreams.
class AtMostOnceCheck {
public:
  static Verdict check(const History &history);
};

} // namespace wigeonlift
