#include <LibHistory/AtMostOnceCheck.h>

#include <map>
#include <string_view>
#include <vector>

namespace wigeonlift {

Verdict AtMostOnceCheck::check(const History &history) {
  Verdict verdict;
  verdict.Invariant = "I4";
  std::map<std::string_view, std::string_view> operationOfRequest;
  history.forEach<CallEvent>([&](const HistoryEvent &, const CallEvent &call) {
    operationOfRequest[call.Request] = call.Operation.empty() ? call.Request : call.Operation;
  });
  std::map<std::string_view, std::vector<HistoryEvent>> effectsOfOperation;
  history.forEach<EffectEvent>([&](const HistoryEvent &event, const EffectEvent &effect) {
    ++verdict.LookedAt;
    const auto it = operationOfRequest.find(effect.Request);
    const std::string_view operation =
        it == operationOfRequest.end() ? std::string_view{effect.Request} : it->second;
    effectsOfOperation[operation].push_back(event);
  });
  for (auto &[operation, effects] : effectsOfOperation)
    if (effects.size() > 1)
      verdict.addViolation("more than one effect of one operation", std::move(effects));
  return verdict;
}

} // namespace wigeonlift
