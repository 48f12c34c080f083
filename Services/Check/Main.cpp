#include <LibHistory/LibHistory.h>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <optional>
#include <string>
#include <vector>

DEFINE_string(budget, "",
              "measuring budgets, SERVICE=PER_SECOND/PER_SECOND_PER_UPSTREAM/WINDOW_MS separated "
              "by commas; the service * stands for all others");
DEFINE_double(leaving_seconds, 3, "how long a leaving upstream may get new work (I5)");
DEFINE_double(catalogue_seconds, 5, "how long a catalogue may take to be in effect (I7)");
DEFINE_string(require, "",
              "invariants, separated by commas, that the history must say something about");

namespace {

using namespace wigeonlift;

enum ExitCode { Holds = 0, Violated = 1, Unreadable = 2 };

std::optional<CheckLimits> limitsFromFlags() {
  CheckLimits limits;
  const auto budgets = MeasuringBudgetCheck::parseBudgets(FLAGS_budget);
  // Bounded, so that a limit added to any time of a history can't overflow.
  constexpr double maxSeconds = 1e6;
  const auto isLimit = [](double seconds) { return seconds >= 0 && seconds <= maxSeconds; };
  if (!budgets || !isLimit(FLAGS_leaving_seconds) || !isLimit(FLAGS_catalogue_seconds))
    return std::nullopt;
  limits.Budgets = *budgets;
  limits.Leaving = fromSeconds(FLAGS_leaving_seconds);
  limits.Catalogue = fromSeconds(FLAGS_catalogue_seconds);
  return limits;
}

absl::Status readFiles(const std::vector<std::string> &paths, History &history) {
  HistoryReader reader;
  for (const std::string &it : paths)
    if (absl::Status status = reader.addFile(it); !status.ok())
      return status;
  if (reader.cutLines() > 0)
    fmt::print(stderr, "{} lines at the end of a file were cut off\n", reader.cutLines());
  return reader.finish(history);
}

bool isRequired(const Verdict &verdict) {
  const std::vector<std::string_view> required = split(FLAGS_require, ',');
  return std::ranges::find(required, verdict.Invariant) != required.end();
}

int judge(const History &history, const CheckLimits &limits) {
  bool isViolated = false;
  for (const Verdict &it : checkHistory(history, limits)) {
    fmt::print("{}\n", it.toLine());
    isViolated |= !it.holds() || (it.LookedAt == 0 && isRequired(it));
  }
  return isViolated ? Violated : Holds;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetVersionString(WIGEONLIFT_VERSION);
  gflags::SetUsageMessage("FILE...: judges the invariants I1 to I7 of a run's histories. Prints a "
                          "JSON line for each; exits with 1 when one is violated or required and "
                          "unchecked, and with 2 when the input can't be read.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::vector<std::string> paths(argv + 1, argv + argc);
  const std::optional<CheckLimits> limits = limitsFromFlags();
  if (paths.empty() || !limits) {
    fmt::print(stderr, "{}\n", paths.empty() ? "no FILE is given" : "a limit is out of range");
    return Unreadable;
  }
  History history;
  if (const absl::Status status = readFiles(paths, history); !status.ok()) {
    const auto message = status.message();
    fmt::print(stderr, "{}\n", std::string_view{message.data(), message.size()});
    return Unreadable;
  }
  return judge(history, *limits);
}
