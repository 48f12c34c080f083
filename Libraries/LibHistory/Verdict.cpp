#include <LibHistory/Verdict.h>

#include <LibHistory/EventFieldWriter.h>
#include <LibHistory/EventText.h>

#include <fmt/format.h>

namespace wigeonlift {

namespace {

std::string violationText(const Violation &violation) {
  EventFieldWriter writer;
  writer("reason", violation.Reason);
  std::string events;
  for (const HistoryEvent &it : violation.Events)
    events += (events.empty() ? "" : ",") + toLine(it);
  writer.json("events", "[" + events + "]");
  return writer.finish();
}

} // namespace

void Verdict::addViolation(std::string reason, std::vector<HistoryEvent> events) {
  ++ViolationCount;
  if (Violations.size() < MaxKept)
    Violations.push_back({std::move(reason), std::move(events)});
}

const char *Verdict::outcome() const {
  if (!holds())
    return "violated";
  return LookedAt > 0 ? "holds" : "unchecked";
}

std::string Verdict::toLine() const {
  EventFieldWriter writer;
  writer("invariant", Invariant);
  writer("outcome", std::string_view{outcome()});
  writer("looked_at", LookedAt);
  for (const auto &[name, value] : Figures)
    writer(name, value);
  writer("violations", ViolationCount);
  std::string kept;
  for (const Violation &it : Violations)
    kept += (kept.empty() ? "" : ",") + violationText(it);
  writer.json("examples", "[" + kept + "]");
  return writer.finish();
}

} // namespace wigeonlift
