#pragma once

#include <LibHistory/History.h>
#include <LibHistory/Verdict.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// Budget of probes of one service, for the whole fleet.
struct ProbeBudget {
  double PerSecond = 0;
  double PerSecondPerUpstream = 0;
  Duration Window{};
};

/// I1: in no window of the budget's length are there more probes than the budget allows, neither
/// of a service nor of one upstream. The probes of all VMs count together, whatever each believed.
class MeasuringBudgetCheck {
public:
  using Budgets = std::map<std::string, ProbeBudget>;

  /// Budgets by service; the one named `*` is for all other services. A probe of a service without
  /// a budget is a violation.
  explicit MeasuringBudgetCheck(Budgets budgets) : ByService(std::move(budgets)) {}

  /// Parses `SERVICE=PER_SECOND/PER_SECOND_PER_UPSTREAM/WINDOW_MS`, separated by commas.
  static std::optional<Budgets> parseBudgets(std::string_view text);

  Verdict check(const History &history) const;

private:
  const ProbeBudget *budgetOf(const std::string &service) const;

  Budgets ByService;
};

} // namespace wigeonlift
