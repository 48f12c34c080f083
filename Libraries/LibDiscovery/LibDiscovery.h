#pragma once

#include <LibDiscovery/StoreReplica.h>
#include <LibDiscovery/UpstreamList.h>
