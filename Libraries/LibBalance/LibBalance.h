#pragma once

#include <LibBalance/BalanceTypes.h>
#include <LibBalance/ServiceBalancer.h>
#include <LibBalance/UpstreamSubset.h>
