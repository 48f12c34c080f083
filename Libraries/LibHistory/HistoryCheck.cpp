#include <LibHistory/HistoryCheck.h>

#include <LibHistory/AtMostOnceCheck.h>
#include <LibHistory/CatalogueCheck.h>
#include <LibHistory/ExecutionCheck.h>
#include <LibHistory/GracefulStopCheck.h>
#include <LibHistory/LeavingUpstreamCheck.h>
#include <LibHistory/OwnResponseCheck.h>

namespace wigeonlift {

std::vector<Verdict> checkHistory(const History &history, const CheckLimits &limits) {
  return {MeasuringBudgetCheck(limits.Budgets).check(history),
          OwnResponseCheck::check(history),
          ExecutionCheck::check(history),
          AtMostOnceCheck::check(history),
          LeavingUpstreamCheck(limits.Leaving).check(history),
          GracefulStopCheck::check(history),
          CatalogueCheck(limits.Catalogue).check(history)};
}

} // namespace wigeonlift
