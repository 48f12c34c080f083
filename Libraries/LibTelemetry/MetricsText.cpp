#include <LibTelemetry/MetricsText.h>

#include <fmt/format.h>

#include <array>

namespace wigeonlift {

namespace {

constexpr std::array BucketEdgesSeconds{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                        0.1,    0.2,   0.5,   1.0,   2.0,  5.0,  10.0};

std::string escapeLabelValue(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '"' || c == '\\')
      escaped += '\\';
    escaped += c == '\n' ? ' ' : c;
  }
  return escaped;
}

std::string formatLabels(std::initializer_list<MetricsText::Label> labels) {
  std::string text;
  for (const auto &[name, value] : labels)
    text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name, escapeLabelValue(value));
  return text;
}

} // namespace

void MetricsText::counter(std::string_view name, std::initializer_list<Label> labels,
                          double value) {
  writeType(name, "counter");
  writeSample(name, formatLabels(labels), value);
}

void MetricsText::gauge(std::string_view name, std::initializer_list<Label> labels, double value) {
  writeType(name, "gauge");
  writeSample(name, formatLabels(labels), value);
}

void MetricsText::histogram(std::string_view name, std::initializer_list<Label> labels,
                            const LatencyHistogram &histogram) {
  writeType(name, "histogram");
  const std::string formattedLabels = formatLabels(labels);
  const std::string_view separator = formattedLabels.empty() ? "" : ",";
  const std::string bucketName = fmt::format("{}_bucket", name);
  for (const double edge : BucketEdgesSeconds)
    writeSample(bucketName, fmt::format("{}{}le=\"{}\"", formattedLabels, separator, edge),
                static_cast<double>(histogram.countUpTo(fromSeconds(edge))));
  const auto count = static_cast<double>(histogram.count());
  writeSample(bucketName, fmt::format("{}{}le=\"+Inf\"", formattedLabels, separator), count);
  writeSample(fmt::format("{}_sum", name), formattedLabels, toSeconds(histogram.sum()));
  writeSample(fmt::format("{}_count", name), formattedLabels, count);
}

void MetricsText::writeType(std::string_view name, std::string_view kind) {
  if (LastTypedMetric == name)
    return;
  LastTypedMetric = name;
  Text += fmt::format("# TYPE {} {}\n", name, kind);
}

void MetricsText::writeSample(std::string_view name, std::string_view labels, double value) {
  if (labels.empty())
    Text += fmt::format("{} {}\n", name, value);
  else
    Text += fmt::format("{}{{{}}} {}\n", name, labels, value);
}

} // namespace wigeonlift
