#pragma once

#include "FleetTask.h"
#include "Gateway.h"
#include "StoreTask.h"

#include <LibHttp/LibHttp.h>

#include <functional>
#include <string>
#include <vector>

namespace wigeonlift {

/// Answers the platform's question whether this VM may get callers.
HttpHandler readinessHandler(Gateway &gateway);

/// Answers callers that ask which entry VMs to use. The function names the callers' addresses for a
/// caller in a data centre, best first.
using DirectoryLookup = std::function<std::vector<std::string>(std::string_view dataCentre)>;
HttpHandler directoryHandler(Gateway &gateway, DirectoryLookup lookup);

/// Serves metrics under /metrics and the state dump under /state.
HttpHandler operatorHandler(Gateway &gateway, FleetTask &fleet, StoreTask &store);

} // namespace wigeonlift
