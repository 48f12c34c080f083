#pragma once

#include <LibDiscovery/StorePlan.h>
#include <LibDiscovery/StoreReplica.h>
#include <LibDiscovery/UpstreamList.h>
