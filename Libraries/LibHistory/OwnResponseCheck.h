#pragma once

#include <LibHistory/History.h>
#include <LibHistory/Verdict.h>

namespace wigeonlift {

/// I2: each request has at most one answer, whose content belongs to the request and is complete
/// unless the caller was shown a failure.
class OwnResponseCheck {
public:
  static Verdict check(const History &history);
};

} // namespace wigeonlift
