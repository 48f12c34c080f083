#pragma once

#include <LibTelemetry/LatencyHistogram.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace wigeonlift {

/// Builds a document in the Prometheus text format.
class MetricsText {
public:
  using Label = std::pair<std::string_view, std::string_view>;

  void counter(std::string_view name, std::initializer_list<Label> labels, double value);
  void gauge(std::string_view name, std::initializer_list<Label> labels, double value);
  /// Writes cumulative buckets with upper edges in seconds, the sum in seconds and the count.
  void histogram(std::string_view name, std::initializer_list<Label> labels,
                 const LatencyHistogram &histogram);
  const std::string &text() const { return Text; }

private:
  void writeType(std::string_view name, std::string_view kind);
  void writeSample(std::string_view name, std::string_view labels, double value);

  std::string Text;
  /// Name in the last TYPE line, so that samples of the same metric share one TYPE line.
  std::string LastTypedMetric;
};

} // namespace wigeonlift
