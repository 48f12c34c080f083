#pragma once

#include <LibBalance/BalanceTypes.h>
#include <LibBalance/ServiceBalancer.h>
#include <LibBalance/UpstreamLimits.h>
#include <LibBalance/UpstreamSubset.h>
