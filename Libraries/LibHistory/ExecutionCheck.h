#pragma once

#include <LibHistory/History.h>
#include <LibHistory/Verdict.h>

namespace wigeonlift {

/// I3: a request whose caller was told `not-run` was not run and is not run later, unless the
/// caller sends it again. It also checks that a non-idempotent request that was answered with `run`
/// had an effect.
class ExecutionCheck {
public:
  static Verdict check(const History &history);
};

} // namespace wigeonlift
