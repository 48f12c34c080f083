#include <StandIns/Load/EffectAudit.h>

#include <LibHistory/LibHistory.h>

#include <fmt/format.h>

#include <fstream>
#include <variant>

namespace wigeonlift {

absl::Status EffectAudit::readHistory(const std::string &path) {
  std::ifstream file{path};
  if (!file)
    return absl::NotFoundError(path);
  for (std::string line; std::getline(file, line);) {
    const auto event = eventFromLine(line);
    if (!event)
      return absl::DataLossError(fmt::format("{}: not an event: {}", path, line));
    if (const auto *effect = std::get_if<EffectEvent>(&event->Data))
      ++Effects[effect->Request];
    else if (const auto *work = std::get_if<WorkEvent>(&event->Data))
      Started.insert(work->Request);
  }
  HasHistory = true;
  return absl::OkStatus();
}

void EffectAudit::check(const CallOutcome &outcome) {
  if (outcome.Class == CallClass::NonIdempotent)
    checkEffects(outcome);
  for (const std::string &it : outcome.NotRunRequests)
    if (Started.contains(it))
      ++Result.FalseNotRun;
}

void EffectAudit::checkEffects(const CallOutcome &outcome) {
  std::uint64_t count = 0;
  for (const std::string &it : outcome.Requests)
    if (const auto found = Effects.find(it); found != Effects.end())
      count += found->second;
  Result.Effects += count;
  if (count > 1)
    ++Result.Doubled;
  if (count == 0 && outcome.Executed == Execution::Run)
    ++Result.Lost;
}

} // namespace wigeonlift
