#pragma once

#include <LibTelemetry/EventLog.h>
#include <LibTelemetry/LatencyHistogram.h>
#include <LibTelemetry/Log.h>
#include <LibTelemetry/MetricsText.h>
