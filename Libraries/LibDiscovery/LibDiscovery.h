#pragma once

#include <LibDiscovery/StoreReplica.h>
#include <LibDiscovery/StoreSyncPolicy.h>
#include <LibDiscovery/UpstreamList.h>
