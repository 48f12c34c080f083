#include <LibHistory/CatalogueCheck.h>

#include <LibHistory/CatalogueJudge.h>

namespace wigeonlift {

Verdict CatalogueCheck::check(const History &history) const {
  Verdict verdict;
  verdict.Invariant = "I7";
  CatalogueJudge(history, Allowed).judge(verdict);
  return verdict;
}

} // namespace wigeonlift
