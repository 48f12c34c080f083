#pragma once

#include <LibRouting/ChoicePolicy.h>
#include <LibRouting/LatencyQuantiles.h>
#include <LibRouting/LoadEstimate.h>
#include <LibRouting/SendPermission.h>
#include <LibRouting/Upstream.h>
#include <LibRouting/UpstreamHealth.h>
#include <LibRouting/UpstreamTable.h>
