#include "EntryMetrics.h"

namespace wigeonlift {

void EntryMetrics::didRelay(CallClass callClass, Execution executed, Duration span) {
  Spans[static_cast<std::size_t>(callClass)].record(span);
  ++Relayed[executed];
}

void EntryMetrics::didFail(const Failure &failure) { ++Failed[{failure.Kind, failure.Executed}]; }

void EntryMetrics::writeTo(MetricsText &text) const {
  const auto count = [&](std::string_view name, std::uint64_t value) {
    text.counter(name, {}, static_cast<double>(value));
  };
  for (const auto it : {CallClass::Idempotent, CallClass::NonIdempotent, CallClass::Export})
    text.histogram("wigeonlift_call_seconds", {{"class", toString(it)}},
                   Spans[static_cast<std::size_t>(it)]);
  for (const auto &[executed, n] : Relayed)
    text.counter("wigeonlift_relayed_total", {{"execution", toString(executed)}},
                 static_cast<double>(n));
  for (const auto &[key, n] : Failed)
    text.counter("wigeonlift_failed_total",
                 {{"failure", toString(key.first)}, {"execution", toString(key.second)}},
                 static_cast<double>(n));
  count("wigeonlift_attempts_total", Attempts);
  count("wigeonlift_probes_total", Probes);
  count("wigeonlift_export_resumes_total", Resumes);
  count("wigeonlift_broken_answers_total", BrokenAnswers);
  count("wigeonlift_callers_left_total", CallersLeft);
  count("wigeonlift_tickets_forwarded_total", TicketsForwarded);
  count("wigeonlift_pauses_total", Pauses);
}

} // namespace wigeonlift
