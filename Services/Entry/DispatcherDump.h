#pragma once

#include <LibDispatch/DispatcherState.h>
#include <LibTelemetry/LibTelemetry.h>

#include <string>

namespace wigeonlift {

/// State of a dispatcher as a JSON object, for the state dump.
std::string dumpDispatcher(const DispatcherState &state);

/// Writes the metrics of a dispatcher.
void writeDispatcher(const DispatcherState &state, MetricsText &text);

} // namespace wigeonlift
