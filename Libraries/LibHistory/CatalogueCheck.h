#pragma once

#include <LibHistory/History.h>
#include <LibHistory/Verdict.h>

namespace wigeonlift {

/// I7: no VM goes back to an older catalogue, and a VM has every version that another one has, or a
/// newer one, in effect within the allowed time in which both ran and could reach each other.
class CatalogueCheck {
public:
  explicit CatalogueCheck(Duration allowed = std::chrono::seconds{5}) : Allowed(allowed) {}

  Verdict check(const History &history) const;

private:
  Duration Allowed;
};

} // namespace wigeonlift
