#include <LibHistory/MeasuringBudgetCheck.h>

#include <LibHistory/ProbeWindows.h>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace wigeonlift {

namespace {

/// Probes that the budget allows in a window. The margin keeps 0.3 a second in 10 s at 3.
std::size_t allowedIn(Duration window, double perSecond) {
  constexpr double roundingMargin = 1e-6;
  return static_cast<std::size_t>(std::floor(perSecond * toSeconds(window) + roundingMargin));
}

std::optional<std::pair<std::string, ProbeBudget>> parseBudget(std::string_view text) {
  const std::size_t equals = text.find('=');
  if (equals == 0 || equals == std::string_view::npos)
    return std::nullopt;
  const std::vector<std::string_view> parts = split(text.substr(equals + 1), '/');
  if (parts.size() != 3)
    return std::nullopt;
  const auto perSecond = parseNumber<double>(parts[0]);
  const auto perUpstream = parseNumber<double>(parts[1]);
  const auto windowMs = parseNumber<std::int32_t>(parts[2]);
  if (!perSecond || !perUpstream || !windowMs || !(*perSecond >= 0) || !(*perUpstream >= 0) ||
      *windowMs <= 0)
    return std::nullopt;
  return std::pair{std::string{text.substr(0, equals)},
                   ProbeBudget{*perSecond, *perUpstream, std::chrono::milliseconds{*windowMs}}};
}

} // namespace

std::optional<MeasuringBudgetCheck::Budgets>
MeasuringBudgetCheck::parseBudgets(std::string_view text) {
  Budgets budgets;
  if (text.empty())
    return budgets;
  for (const std::string_view it : split(text, ',')) {
    auto budget = parseBudget(it);
    if (!budget || !budgets.insert(std::move(*budget)).second)
      return std::nullopt;
  }
  return budgets;
}

Verdict MeasuringBudgetCheck::check(const History &history) const {
  using Probes = std::vector<const HistoryEvent *>;
  Verdict verdict;
  verdict.Invariant = "I1";
  std::map<std::string, Probes> byService;
  std::map<std::pair<std::string, std::string>, Probes> byUpstream;
  history.forEach<ProbeEvent>([&](const HistoryEvent &event, const ProbeEvent &probe) {
    ++verdict.LookedAt;
    byService[probe.Service].push_back(&event);
    byUpstream[{probe.Service, probe.Upstream}].push_back(&event);
  });
  std::size_t windows = 0;
  std::size_t mostOfService = 0;
  for (const auto &[service, probes] : byService) {
    const ProbeBudget *budget = budgetOf(service);
    if (!budget) {
      verdict.addViolation(fmt::format("no budget is given for {}", service), {*probes.front()});
      continue;
    }
    ProbeWindows counter(budget->Window, verdict);
    counter.count(probes, allowedIn(budget->Window, budget->PerSecond), service);
    mostOfService = std::max(mostOfService, counter.mostInWindow());
    const std::size_t allowed = allowedIn(budget->Window, budget->PerSecondPerUpstream);
    for (const auto &[key, upstreamProbes] : byUpstream)
      if (key.first == service)
        counter.count(upstreamProbes, allowed, key.second);
    windows += counter.windows();
  }
  verdict.Figures = {{"windows", windows}, {"most_in_window", mostOfService}};
  return verdict;
}

const ProbeBudget *MeasuringBudgetCheck::budgetOf(const std::string &service) const {
  auto it = ByService.find(service);
  if (it == ByService.end())
    it = ByService.find("*");
  return it == ByService.end() ? nullptr : &it->second;
}

} // namespace wigeonlift
