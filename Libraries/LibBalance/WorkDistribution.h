#pragma once

#include <LibBase/LibBase.h>

#include <boost/histogram/axis/boolean.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <optional>
#include <tuple>
#include <vector>

namespace wigeonlift {

/// Distribution of recent work times of one kind of request. All weights are halved whenever their
/// total reaches a limit, so that recent ones dominate.
class WorkDistribution {
public:
  WorkDistribution();

  /// Adds an attempt that finished after `work`.
  void addFinished(Duration work, double weight) { add(work, true, weight); }
  /// Adds a right-censored sample: an attempt that was aborted after `work`.
  void addAborted(Duration work, double weight) { add(work, false, weight); }

  /// Expected remaining work of an attempt that has done `elapsed`, not counting the longest
  /// samples. Empty while there are too few samples, or if none lasted that long.
  std::optional<Duration> meanResidual(Duration elapsed) const;
  /// The earliest elapsed work from which the mean residual is above `residual`, if there is any.
  std::optional<Duration> firstWithResidual(Duration residual) const;

private:
  /// Probability that an attempt takes longer than the lower bound of a bin, and the integral of
  /// that probability from there on.
  struct Survival {
    double Probability;
    double Integral;
  };

  void add(Duration work, bool isFinished, double weight);
  /// One element for each bin and one for the upper bound of the last; empty while there are too
  /// few samples.
  std::vector<Survival> survival() const;
  /// Mean residual in seconds; 0 if no sample lasted that long.
  double residualAt(const std::vector<Survival> &table, double seconds) const;

  using Axes =
      std::tuple<boost::histogram::axis::regular<double, boost::histogram::axis::transform::log,
                                                 boost::histogram::use_default,
                                                 boost::histogram::axis::option::none_t>,
                 boost::histogram::axis::boolean<>>;
  boost::histogram::histogram<Axes, boost::histogram::dense_storage<float>> Samples;
  double TotalWeight = 0;
};

} // namespace wigeonlift
